#include "remote_execution/message.h"

#include <string.h>

#include "remote_execution/names.h"

/* ------------------------------------------------------------------ bytes */

#define ALLOCATION_OVERHEAD_BYTES 32
#define NAME_BYTES_MAX 255
#define PATH_BYTES_MAX 4095

/* The memory that parsing one message may still allocate. */
typedef struct {
  gsize left; /* in bytes */
} MemoryBudget;

static void *budget_alloc(void *data, size_t size) {
  MemoryBudget *budget = data;
  gsize cost = size + ALLOCATION_OVERHEAD_BYTES;
  if (cost > budget->left)
    return NULL;
  budget->left -= cost;
  return g_try_malloc(MAX(1, size));
}

static void budget_free(void *data, void *pointer) { g_free(pointer); }

/* Allocator for freeing parsed messages. Must not be used to allocate: budget_alloc() would dereference the
 * NULL budget. */
static ProtobufCAllocator free_only = {budget_alloc, budget_free, NULL};

gpointer fk_message_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len,
                           gsize max) {
  MemoryBudget budget = {max};
  ProtobufCAllocator allocator = {budget_alloc, budget_free, &budget};
  return protobuf_c_message_unpack(type, &allocator, len, bytes);
}

void fk_message_free(gpointer message) {
  if (message)
    protobuf_c_message_free_unpacked(message, &free_only);
}

GBytes *fk_message_pack(gconstpointer message) {
  gsize size = protobuf_c_message_get_packed_size(message);
  guint8 *bytes = g_malloc(MAX(1, size));
  protobuf_c_message_pack(message, bytes);
  return g_bytes_new_take(bytes, size);
}

gboolean fk_message_digest(const Rx__Digest *digest, FkDigest *out) {
  return digest && fk_digest_parse(out, digest->hash, digest->size_bytes);
}

/* ------------------------------------------------------------------ statuses */

/* Returns a serialized google.rpc.Status with one detail: the message `detail`, with the type URL `type`. */
static GBytes *pack_status(FkGrpcStatus code, const char *text, const char *type, gconstpointer detail) {
  g_autoptr(GBytes) packed = fk_message_pack(detail);
  gsize len;
  const guint8 *bytes = g_bytes_get_data(packed, &len);
  Rx__Any any = RX__ANY__INIT, *details[] = {&any};
  Rx__Status status = RX__STATUS__INIT;
  any.type_url = (char *)type;
  any.value = (ProtobufCBinaryData){len, (guint8 *)bytes};
  status.code = (int)code;
  status.message = (char *)text;
  status.n_details = 1;
  status.details = details;
  return fk_message_pack(&status);
}

GBytes *fk_message_retry_status(FkGrpcStatus code, const char *text, gint64 retry_s) {
  Rx__Duration delay = RX__DURATION__INIT;
  Rx__RetryInfo info = RX__RETRY_INFO__INIT;
  delay.seconds = retry_s;
  info.retry_delay = &delay;
  return pack_status(code, text, FK_TYPE_RETRY_INFO, &info);
}

GBytes *fk_message_missing_status(const char *text, const GArray *missing) {
  g_autofree Rx__Violation *violations = g_new(Rx__Violation, missing->len);
  g_autofree Rx__Violation **list = g_new(Rx__Violation *, missing->len);
  g_autoptr(GPtrArray) subjects = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < missing->len; i++) {
    const FkDigest *d = &g_array_index(missing, FkDigest, i);
    char *subject = g_strdup_printf("blobs/%s/%" G_GUINT64_FORMAT, d->hex, d->size);
    g_ptr_array_add(subjects, subject);
    rx__violation__init(&violations[i]);
    violations[i].type = "MISSING";
    violations[i].subject = subject;
    list[i] = &violations[i];
  }
  Rx__PreconditionFailure failure = RX__PRECONDITION_FAILURE__INIT;
  failure.n_violations = missing->len;
  failure.violations = list;
  return pack_status(FK_GRPC_FAILED_PRECONDITION, text, FK_TYPE_PRECONDITION, &failure);
}

/* ------------------------------------------------------------------ references of results */

gboolean fk_message_name_is_valid(const char *name) {
  return name && *name && !strchr(name, '/') && strcmp(name, ".") != 0 && strcmp(name, "..") != 0 &&
         strlen(name) <= NAME_BYTES_MAX && g_utf8_validate(name, -1, NULL);
}

gboolean fk_message_path_is_valid(const char *path) {
  if (!path || strlen(path) > PATH_BYTES_MAX)
    return FALSE;
  g_auto(GStrv) parts = g_strsplit(path, "/", -1);
  for (guint i = 0; parts[i]; i++)
    if (!fk_message_name_is_valid(parts[i]))
      return FALSE;
  return parts[0] != NULL;
}

/* Appends a digest to `blobs`. Returns FALSE and a reason if the digest is missing or malformed. */
static gboolean add_digest(GArray *blobs, const Rx__Digest *message, const char **reason) {
  FkDigest digest;
  if (!fk_message_digest(message, &digest)) {
    *reason = "a digest isn't one";
    return FALSE;
  }
  g_array_append_val(blobs, digest);
  return TRUE;
}

/* Returns whether an output's path is valid. If it isn't, sets `reason`. */
static gboolean check_path(const char *path, const char **reason) {
  if (fk_message_path_is_valid(path))
    return TRUE;
  *reason = "an output's path leads out of the working directory, or isn't a path";
  return FALSE;
}

static gboolean check_symlinks(Rx__OutputSymlink **links, gsize n, const char **reason) {
  for (gsize i = 0; i < n; i++)
    if (!check_path(links[i]->path, reason))
      return FALSE;
  return TRUE;
}

/* Appends the digest of an output directory's tree to `blobs` and `trees`. The path may be empty: the
 * directory is then the working directory. Returns FALSE and a reason if the path or the digest is invalid.
 */
static gboolean add_directory(const Rx__OutputDirectory *directory, GArray *blobs, GArray *trees,
                              const char **reason) {
  return (!*directory->path || check_path(directory->path, reason)) &&
         add_digest(blobs, directory->tree_digest, reason) &&
         add_digest(trees, directory->tree_digest, reason);
}

gboolean fk_message_result_blobs(const Rx__ActionResult *result, GArray *blobs, GArray *trees,
                                 const char **reason) {
  for (gsize i = 0; i < result->n_output_files; i++)
    if (!check_path(result->output_files[i]->path, reason) ||
        !add_digest(blobs, result->output_files[i]->digest, reason))
      return FALSE;
  for (gsize i = 0; i < result->n_output_directories; i++)
    if (!add_directory(result->output_directories[i], blobs, trees, reason))
      return FALSE;
  return check_symlinks(result->output_symlinks, result->n_output_symlinks, reason) &&
         check_symlinks(result->output_file_symlinks, result->n_output_file_symlinks, reason) &&
         check_symlinks(result->output_directory_symlinks, result->n_output_directory_symlinks, reason) &&
         (!result->stdout_digest || add_digest(blobs, result->stdout_digest, reason)) &&
         (!result->stderr_digest || add_digest(blobs, result->stderr_digest, reason));
}

/* Appends the digests of the files that `directory` itself contains. Returns FALSE and a reason if
 * a name or a digest is invalid. */
static gboolean add_files(const Rx__Directory *directory, GArray *blobs, const char **reason) {
  for (gsize i = 0; i < directory->n_files; i++) {
    if (!fk_message_name_is_valid(directory->files[i]->name)) {
      *reason = "a file's name isn't one";
      return FALSE;
    }
    if (!add_digest(blobs, directory->files[i]->digest, reason))
      return FALSE;
  }
  return TRUE;
}

gboolean fk_message_tree_blobs(const Rx__Tree *tree, GArray *blobs, const char **reason) {
  if (tree->root && !add_files(tree->root, blobs, reason))
    return FALSE;
  for (gsize i = 0; i < tree->n_children; i++)
    if (!add_files(tree->children[i], blobs, reason))
      return FALSE;
  return TRUE;
}
