/* Parses and serializes the messages of the Remote Execution API, and collects the blobs that action results
 * and trees refer to. */
#pragma once
#include <glib.h>
#include <protobuf-c/protobuf-c.h>

#include "blob_store/digest.h"
#include "grpc/status.h"
#include "rx.pb-c.h"

/* Parses a message; free the result with fk_message_free(). Returns NULL if the message is malformed or would
 * take more than `max` bytes of memory. Without this limit, a short input with many empty submessages would
 * take a lot of memory. */
gpointer fk_message_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len, gsize max);
/* Frees a parsed message. NULL is allowed. */
void fk_message_free(gpointer message);
/* Serializes a message. The caller unrefs the result. */
GBytes *fk_message_pack(gconstpointer message);

/* Converts `digest`. Returns FALSE if `digest` is NULL or malformed. */
gboolean fk_message_digest(const Rx__Digest *digest, FkDigest *out);

/* Returns a serialized google.rpc.Status with the delay after which the client may retry. The caller unrefs
 * the result. */
GBytes *fk_message_retry_status(FkGrpcStatus code, const char *text, gint64 retry_s);
/* Returns a serialized google.rpc.Status with code FAILED_PRECONDITION and a violation for each digest in
 * `missing` (an array of FkDigest). The caller unrefs the result. */
GBytes *fk_message_missing_status(const char *text, const GArray *missing);

/* Appends the digest of each output file, tree, standard output and standard error of a result to `blobs`
 * (FkDigest), and the trees' digests also to `trees`. Returns FALSE and a static reason if a digest is
 * malformed or a path doesn't pass fk_message_path_is_valid(). An output directory's path may also be empty.
 */
gboolean fk_message_result_blobs(const Rx__ActionResult *result, GArray *blobs, GArray *trees,
                                 const char **reason);
/* Appends the digest of each file in a tree to `blobs` (FkDigest). Returns FALSE and a static reason if a
 * file's name or digest is invalid. */
gboolean fk_message_tree_blobs(const Rx__Tree *tree, GArray *blobs, const char **reason);
/* Returns whether `path` is a relative path of at most 4095 bytes whose components all pass
 * fk_message_name_is_valid(). */
gboolean fk_message_path_is_valid(const char *path);
/* Returns whether `name` is a valid path component: UTF-8, 1 to 255 bytes, contains no `/`, and isn't `.` or
 * `..`. */
gboolean fk_message_name_is_valid(const char *name);
