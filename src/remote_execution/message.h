/* The Remote Execution API's messages to and from bytes, and what results and trees refer to. */
#pragma once
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

#include "blob_store/digest.h"
#include "grpc/status.h"
#include "rx.pb-c.h"

/* NULL: the bytes aren't such a message, or it would take more than `max` bytes of memory: a few bytes on the
 * wire can ask for many empty parts. Free with fk_message_free(). */
gpointer fk_message_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len, gsize max);
/* NULL is fine. */
void fk_message_free(gpointer message);
/* To be unreffed. */
GBytes *fk_message_pack(gconstpointer message);

/* FALSE: missing or malformed. */
gboolean fk_message_digest(const Rx__Digest *digest, FkDigest *out);

/* A google.rpc.Status with the time after which to try again; to be unreffed. */
GBytes *fk_message_retry_status(FkGrpcStatus code, const char *text, gint64 retry_s);
/* ... with each missing blob (FkDigest). */
GBytes *fk_message_missing_status(const char *text, const GArray *missing);

/* Appends each blob that a result refers to, outputs, standard streams and trees, to `blobs` (FkDigest), and
 * the trees to `trees` besides. FALSE and a reason (static): malformed, for instance a path that isn't
 * relative and clean. */
gboolean fk_message_result_blobs(const Rx__ActionResult *result, GArray *blobs, GArray *trees,
                                 const char **reason);
/* Likewise each file of a tree. */
gboolean fk_message_tree_blobs(const Rx__Tree *tree, GArray *blobs, const char **reason);
/* A relative path without empty, `.` or `..` parts. */
gboolean fk_message_path_is_valid(const char *path);
/* One part of such a path. */
gboolean fk_message_name_is_valid(const char *name);
