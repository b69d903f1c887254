/* Messages in and out of bytes, with bounds. */
#pragma once
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

#include "blob_store/digest.h"
#include "grpc/status.h"
#include "rx.pb-c.h"

/* NULL when the bytes aren't such a message, or one that would take more than `max` bytes of memory: a few
 * bytes on the wire can ask for many empty parts. Free with fk_message_free(). */
gpointer fk_message_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len, gsize max);
void fk_message_free(gpointer message);
/* To be unreffed. */
GBytes *fk_message_pack(gconstpointer message);

/* FALSE: missing or no digest. */
gboolean fk_message_digest(const Rx__Digest *d, FkDigest *out);

/* A google.rpc.Status with when to come back, or (`missing`: FkDigest) with each blob that is needed; to be
 * unreffed. */
GBytes *fk_message_retry_status(FkGrpcStatus code, const char *text, gint64 retry_s);
GBytes *fk_message_missing_status(const char *text, const GArray *missing);

/* Every blob that a result refers to, outputs, standard streams and trees: FkDigest into `blobs`, and the
 * trees into `trees` besides. FALSE and a reason (static) when the result can't be one: a path that isn't
 * relative and clean, a digest that isn't one. */
gboolean fk_message_result_blobs(const Rx__ActionResult *r, GArray *blobs, GArray *trees, const char **why);
/* Every file of a tree, likewise. */
gboolean fk_message_tree_blobs(const Rx__Tree *t, GArray *blobs, const char **why);
/* A relative path without empty, `.` or `..` parts. `name`: one part of one. */
gboolean fk_message_path_is_valid(const char *path);
gboolean fk_message_name_is_valid(const char *name);
