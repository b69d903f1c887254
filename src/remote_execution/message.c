#include "remote_execution/message.h"

#include <string.h>

#include "remote_execution/names.h"

/* ------------------------------------------------------------------ bytes */

typedef struct {
  gsize left;
} Budget;

static void *budget_alloc(void *data, size_t n) {
  Budget *b = data;
  gsize cost = n + 32; /* what an allocator adds */
  if (cost > b->left)
    return NULL;
  b->left -= cost;
  return g_try_malloc(MAX(1, n));
}

static void budget_free(void *data, void *p) { g_free(p); }

/* Frees what any budget allocated. */
static ProtobufCAllocator plain = {budget_alloc, budget_free, NULL};

gpointer fk_message_unpack(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len,
                           gsize max) {
  Budget budget = {max};
  ProtobufCAllocator allocator = {budget_alloc, budget_free, &budget};
  return protobuf_c_message_unpack(type, &allocator, len, bytes);
}

void fk_message_free(gpointer message) {
  if (message)
    protobuf_c_message_free_unpacked(message, &plain);
}

GBytes *fk_message_pack(gconstpointer message) {
  gsize n = protobuf_c_message_get_packed_size(message);
  guint8 *bytes = g_malloc(MAX(1, n));
  protobuf_c_message_pack(message, bytes);
  return g_bytes_new_take(bytes, n);
}

gboolean fk_message_digest(const Rx__Digest *d, FkDigest *out) {
  return d && fk_digest_parse(out, d->hash, d->size_bytes);
}

/* ------------------------------------------------------------------ statuses */

static GBytes *status(FkGrpcStatus code, const char *text, const char *type, gconstpointer detail) {
  g_autoptr(GBytes) packed = fk_message_pack(detail);
  gsize len;
  const guint8 *bytes = g_bytes_get_data(packed, &len);
  Rx__Any any = RX__ANY__INIT, *details[] = {&any};
  Rx__Status s = RX__STATUS__INIT;
  any.type_url = (char *)type;
  any.value = (ProtobufCBinaryData){len, (guint8 *)bytes};
  s.code = (int)code;
  s.message = (char *)text;
  s.n_details = 1;
  s.details = details;
  return fk_message_pack(&s);
}

GBytes *fk_message_retry_status(FkGrpcStatus code, const char *text, gint64 retry_s) {
  Rx__Duration delay = RX__DURATION__INIT;
  Rx__RetryInfo info = RX__RETRY_INFO__INIT;
  delay.seconds = retry_s;
  info.retry_delay = &delay;
  return status(code, text, FK_TYPE_RETRY_INFO, &info);
}

GBytes *fk_message_missing_status(const char *text, const GArray *missing) {
  g_autofree Rx__Violation *all = g_new(Rx__Violation, missing->len);
  g_autofree Rx__Violation **list = g_new(Rx__Violation *, missing->len);
  g_autoptr(GPtrArray) subjects = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < missing->len; i++) {
    const FkDigest *d = &g_array_index(missing, FkDigest, i);
    char *subject = g_strdup_printf("blobs/%s/%" G_GUINT64_FORMAT, d->hex, d->size);
    g_ptr_array_add(subjects, subject);
    rx__violation__init(&all[i]);
    all[i].type = "MISSING";
    all[i].subject = subject;
    list[i] = &all[i];
  }
  Rx__PreconditionFailure failure = RX__PRECONDITION_FAILURE__INIT;
  failure.n_violations = missing->len;
  failure.violations = list;
  return status(FK_GRPC_FAILED_PRECONDITION, text, FK_TYPE_PRECONDITION, &failure);
}

/* ------------------------------------------------------------------ what a result refers to */

gboolean fk_message_name_is_valid(const char *name) {
  return name && *name && !strchr(name, '/') && strcmp(name, ".") != 0 && strcmp(name, "..") != 0 &&
         strlen(name) <= 255 && g_utf8_validate(name, -1, NULL);
}

gboolean fk_message_path_is_valid(const char *path) {
  if (!path || strlen(path) > 4095)
    return FALSE;
  g_auto(GStrv) parts = g_strsplit(path, "/", -1);
  for (guint i = 0; parts[i]; i++)
    if (!fk_message_name_is_valid(parts[i]))
      return FALSE;
  return parts[0] != NULL;
}

static gboolean add(GArray *blobs, const Rx__Digest *d, const char **why) {
  FkDigest digest;
  if (!fk_message_digest(d, &digest)) {
    *why = "a digest isn't one";
    return FALSE;
  }
  g_array_append_val(blobs, digest);
  return TRUE;
}

static gboolean path(const char *p, const char **why) {
  if (fk_message_path_is_valid(p))
    return TRUE;
  *why = "an output's path leads out of the working directory, or isn't a path";
  return FALSE;
}

gboolean fk_message_result_blobs(const Rx__ActionResult *r, GArray *blobs, GArray *trees, const char **why) {
  for (gsize i = 0; i < r->n_output_files; i++)
    if (!path(r->output_files[i]->path, why) || !add(blobs, r->output_files[i]->digest, why))
      return FALSE;
  for (gsize i = 0; i < r->n_output_directories; i++) {
    const Rx__OutputDirectory *d = r->output_directories[i];
    if ((*d->path && !path(d->path, why)) || !add(blobs, d->tree_digest, why) ||
        !add(trees, d->tree_digest, why))
      return FALSE;
  }
  const struct {
    gsize n;
    Rx__OutputSymlink **links;
  } links[] = {{r->n_output_symlinks, r->output_symlinks},
               {r->n_output_file_symlinks, r->output_file_symlinks},
               {r->n_output_directory_symlinks, r->output_directory_symlinks}};
  for (guint k = 0; k < G_N_ELEMENTS(links); k++)
    for (gsize i = 0; i < links[k].n; i++)
      if (!path(links[k].links[i]->path, why))
        return FALSE;
  return (!r->stdout_digest || add(blobs, r->stdout_digest, why)) &&
         (!r->stderr_digest || add(blobs, r->stderr_digest, why));
}

static gboolean directory_blobs(const Rx__Directory *d, GArray *blobs, const char **why) {
  for (gsize i = 0; i < d->n_files; i++) {
    if (!fk_message_name_is_valid(d->files[i]->name)) {
      *why = "a file's name isn't one";
      return FALSE;
    }
    if (!add(blobs, d->files[i]->digest, why))
      return FALSE;
  }
  return TRUE;
}

gboolean fk_message_tree_blobs(const Rx__Tree *t, GArray *blobs, const char **why) {
  if (t->root && !directory_blobs(t->root, blobs, why))
    return FALSE;
  for (gsize i = 0; i < t->n_children; i++)
    if (!directory_blobs(t->children[i], blobs, why))
      return FALSE;
  return TRUE;
}
