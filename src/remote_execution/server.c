#include "remote_execution/server.h"

#include <glib/gstdio.h>
#include <string.h>
#include <zstd.h>

#include "blob_store/blob_store.h"
#include "grpc/h2.h"
#include "keys/keys.h"
#include "net/h2_connection.h"
#include "net/server.h"
#include "remote_execution/message.h"
#include "remote_execution/names.h"

#define READ_CHUNK 65536
#define SENT_CHUNK (512 * 1024) /* of a blob that is read, a message */
#define QUEUED (1024 * 1024)    /* bytes of an answer that wait for a slow reader */
#define UNPACKED 8              /* a message may take so many times its bytes in memory, and a little more */
#define UPLOADS_A_TEAM 256      /* begun and not finished */
#define TREE_MAX 100000         /* directories of one tree */
#define PAGE_DEFAULT 1000
#define PAGE_BYTES (1 << 20)
#define SHA256_FUNCTION 1
#define KEYS_S 2 /* between two looks at the keys' file */
#define RETRY_S 5
#define MB 1048576.0

typedef struct Call Call;
typedef struct {
  const char *path;
  const ProtobufCMessageDescriptor *request;
  gboolean stream; /* of messages, not one */
  void (*message)(Call *c, gpointer request);
} Method;

struct FkRemoteExecution {
  const FkRemoteExecutionSettings *settings;
  GThread *thread;
  GMainContext *context;
  GMainLoop *loop;
  FkServer *door;
  FkBlobStore *blobs;
  FkKeys *keys;
  gint64 keys_mtime;
  GHashTable *conns;   /* FkH2Connection */
  GHashTable *uploads; /* team and name -> Upload */
  gsize message_max;
  FkH2Limits limits;
};

/* One that is under way, whether somebody sends to it just now or not. */
typedef struct {
  FkUpload *upload;
  char *key, *team;
  Call *by;
  gint64 since_us; /* nobody has sent to it */
} Upload;

struct Call {
  FkRemoteExecution *s;
  FkRpc *rpc;
  const Method *method;
  char *team;
  gboolean seen; /* the one message of a call that has one */
  /* Read */
  FkBlobReader *reader;
  guint64 left; /* bytes that were asked for */
  ZSTD_CStream *pack;
  /* Write */
  Upload *upload;
  FkResourceName resource;
  gboolean named;
  gint64 taken; /* bytes of the wire, for offsets of a compressed one */
  ZSTD_DStream *unpack;
  gboolean unpacked;
};

/* ------------------------------------------------------------------ answers */

static void fail(Call *c, FkGrpcStatus code, const char *why) { fk_rpc_end(c->rpc, code, why, NULL, 0); }

static void fail_with(Call *c, FkGrpcStatus code, const char *why, GBytes *details /* taken */) {
  gsize len;
  const guint8 *bytes = g_bytes_get_data(details, &len);
  fk_rpc_end(c->rpc, code, why, bytes, len);
  g_bytes_unref(details);
}

static gboolean reply(Call *c, gconstpointer message) {
  g_autoptr(GBytes) bytes = fk_message_pack(message);
  gsize len;
  const guint8 *data = g_bytes_get_data(bytes, &len);
  return fk_rpc_send(c->rpc, data, len);
}

static void reply_and_end(Call *c, gconstpointer message) {
  reply(c, message);
  fk_rpc_end(c->rpc, FK_GRPC_OK, NULL, NULL, 0);
}

/* Of bytes from anywhere: within a budget that its length sets. NULL: it isn't one. */
static gpointer unpacked(const ProtobufCMessageDescriptor *type, const guint8 *bytes, gsize len) {
  return fk_message_unpack(type, bytes, len, UNPACKED * len + READ_CHUNK);
}

static gpointer unpacked_blob(const ProtobufCMessageDescriptor *type, GBytes *blob) {
  gsize len;
  const guint8 *bytes = g_bytes_get_data(blob, &len);
  return unpacked(type, bytes, len);
}

static FkGrpcStatus code_of(FkBlobStatus o) {
  switch (o) {
  case FK_BLOB_STATUS_OK:
    return FK_GRPC_OK;
  case FK_BLOB_STATUS_NOT_FOUND:
    return FK_GRPC_NOT_FOUND;
  case FK_BLOB_STATUS_MISMATCH:
    return FK_GRPC_INVALID_ARGUMENT;
  case FK_BLOB_STATUS_FULL:
    return FK_GRPC_RESOURCE_EXHAUSTED;
  default:
    return FK_GRPC_INTERNAL;
  }
}

static const char *text_of(FkBlobStatus o) {
  static const char *const texts[] = {"", "no such blob", "the bytes aren't what the digest says",
                                      "no room for this blob", "the disk fails"};
  return texts[o];
}

static void come_back(Call *c, const char *why) {
  fail_with(c, FK_GRPC_RESOURCE_EXHAUSTED, why,
            fk_message_retry_status(FK_GRPC_RESOURCE_EXHAUSTED, why, RETRY_S));
}

static void fail_blob(Call *c, FkBlobStatus o) {
  if (o == FK_BLOB_STATUS_FULL)
    come_back(c, text_of(o));
  else
    fail(c, code_of(o), text_of(o));
}

/* A team is its instance; another's, whether there is such a team or not, is refused in the same words. */
static gboolean own(Call *c, const char *instance) {
  if (!*instance || g_str_equal(instance, c->team))
    return TRUE;
  fail(c, FK_GRPC_PERMISSION_DENIED, "the key doesn't stand for this instance");
  return FALSE;
}

static gboolean sha256(Call *c, int function) {
  if (function == 0 || function == SHA256_FUNCTION)
    return TRUE;
  fail(c, FK_GRPC_INVALID_ARGUMENT, "only SHA-256 is known");
  return FALSE;
}

static gboolean digest_of(Call *c, const Rx__Digest *d, FkDigest *out) {
  if (fk_message_digest(d, out))
    return TRUE;
  fail(c, FK_GRPC_INVALID_ARGUMENT, "a digest isn't one");
  return FALSE;
}

/* ------------------------------------------------------------------ capabilities */

static void capabilities(Call *c, gpointer request) {
  const Rx__GetCapabilitiesRequest *q = request;
  if (!own(c, q->instance_name))
    return;
  int32_t functions[] = {SHA256_FUNCTION}, compressors[] = {1 /* zstd */};
  Rx__ActionCacheUpdateCapabilities update = RX__ACTION_CACHE_UPDATE_CAPABILITIES__INIT;
  Rx__CacheCapabilities cache = RX__CACHE_CAPABILITIES__INIT;
  Rx__ExecutionCapabilities execution = RX__EXECUTION_CAPABILITIES__INIT;
  Rx__SemVer low = RX__SEM_VER__INIT, high = RX__SEM_VER__INIT;
  Rx__ServerCapabilities r = RX__SERVER_CAPABILITIES__INIT;
  update.update_enabled = TRUE;
  cache.n_digest_functions = execution.n_digest_functions = 1;
  cache.digest_functions = execution.digest_functions = functions;
  cache.action_cache_update_capabilities = &update;
  cache.max_batch_total_size_bytes = (gint64)c->s->message_max - READ_CHUNK;
  cache.symlink_absolute_path_strategy = 1; /* not allowed */
  cache.n_supported_compressors = 1;
  cache.supported_compressors = compressors;
  execution.digest_function = SHA256_FUNCTION;
  execution.exec_enabled = FALSE;
  low.major = 2;
  high.major = 2;
  high.minor = 3;
  r.cache_capabilities = &cache;
  r.execution_capabilities = &execution;
  r.low_api_version = &low;
  r.high_api_version = &high;
  reply_and_end(c, &r);
}

/* ------------------------------------------------------------------ content-addressable storage */

static void find_missing(Call *c, gpointer request) {
  const Rx__FindMissingBlobsRequest *q = request;
  if (!own(c, q->instance_name) || !sha256(c, q->digest_function))
    return;
  g_autofree Rx__Digest **missing = g_new(Rx__Digest *, q->n_blob_digests + 1);
  Rx__FindMissingBlobsResponse r = RX__FIND_MISSING_BLOBS_RESPONSE__INIT;
  r.missing_blob_digests = missing;
  for (gsize i = 0; i < q->n_blob_digests; i++) {
    FkDigest d;
    if (!digest_of(c, q->blob_digests[i], &d))
      return;
    if (!fk_blob_store_has(c->s->blobs, c->team, &d))
      missing[r.n_missing_blob_digests++] = q->blob_digests[i];
  }
  reply_and_end(c, &r);
}

static FkBlobStatus put(Call *c, const FkDigest *d, const guint8 *data, gsize len) {
  FkUpload *u;
  FkBlobStatus o = fk_upload_begin(c->s->blobs, c->team, d, &u);
  if (o != FK_BLOB_STATUS_OK)
    return o;
  o = fk_upload_write(u, data, len);
  if (o == FK_BLOB_STATUS_OK)
    return fk_upload_finish(u);
  fk_upload_abort(u);
  return o;
}

static void batch_update(Call *c, gpointer request) {
  const Rx__BatchUpdateBlobsRequest *q = request;
  gsize n = q->n_requests;
  if (!own(c, q->instance_name) || !sha256(c, q->digest_function))
    return;
  g_autofree Rx__BlobUpdated *all = g_new(Rx__BlobUpdated, n + 1), **list = g_new(Rx__BlobUpdated *, n + 1);
  g_autofree Rx__Status *statuses = g_new(Rx__Status, n + 1);
  for (gsize i = 0; i < n; i++) {
    const Rx__BlobUpdate *u = q->requests[i];
    FkDigest d;
    rx__blob_updated__init(list[i] = &all[i]);
    rx__status__init(all[i].status = &statuses[i]);
    all[i].digest = u->digest;
    FkBlobStatus o = FK_BLOB_STATUS_MISMATCH;
    if (u->compressor)
      statuses[i].message = "blobs of a batch are taken as they are, not compressed";
    else if (!fk_message_digest(u->digest, &d))
      statuses[i].message = "a digest isn't one";
    else if ((o = put(c, &d, u->data.data, u->data.len)) != FK_BLOB_STATUS_OK)
      statuses[i].message = (char *)text_of(o);
    statuses[i].code = (int)code_of(o);
  }
  Rx__BatchUpdateBlobsResponse r = RX__BATCH_UPDATE_BLOBS_RESPONSE__INIT;
  r.n_responses = n;
  r.responses = list;
  reply_and_end(c, &r);
}

static void batch_read(Call *c, gpointer request) {
  const Rx__BatchReadBlobsRequest *q = request;
  gsize n = q->n_digests;
  guint64 total = 0;
  if (!own(c, q->instance_name) || !sha256(c, q->digest_function))
    return;
  g_autofree FkDigest *digests = g_new(FkDigest, n + 1);
  for (gsize i = 0; i < n; i++) {
    if (!digest_of(c, q->digests[i], &digests[i]))
      return;
    total += digests[i].size + 128;
    if (total > c->s->message_max) {
      fail(c, FK_GRPC_INVALID_ARGUMENT, "these blobs together are too long for one answer");
      return;
    }
  }
  g_autofree Rx__BlobRead *all = g_new(Rx__BlobRead, n + 1), **list = g_new(Rx__BlobRead *, n + 1);
  g_autofree Rx__Status *statuses = g_new(Rx__Status, n + 1);
  g_autoptr(GPtrArray) kept = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
  for (gsize i = 0; i < n; i++) {
    rx__blob_read__init(list[i] = &all[i]);
    rx__status__init(all[i].status = &statuses[i]);
    all[i].digest = q->digests[i];
    GBytes *bytes = fk_blob_store_read_all(c->s->blobs, c->team, &digests[i], c->s->message_max);
    if (!bytes) {
      statuses[i].code = FK_GRPC_NOT_FOUND;
      statuses[i].message = (char *)text_of(FK_BLOB_STATUS_NOT_FOUND);
      continue;
    }
    g_ptr_array_add(kept, bytes);
    gsize len;
    all[i].data.data = (guint8 *)g_bytes_get_data(bytes, &len);
    all[i].data.len = len;
  }
  Rx__BatchReadBlobsResponse r = RX__BATCH_READ_BLOBS_RESPONSE__INIT;
  r.n_responses = n;
  r.responses = list;
  reply_and_end(c, &r);
}

/* Breadth first, each directory once however often it occurs: a tree whose parts refer to each other many
 * times over is no longer than its distinct parts. The page's token is the number of the next one in that
 * order, which is the same each time since names are contents. */
static void get_tree(Call *c, gpointer request) {
  const Rx__GetTreeRequest *q = request;
  FkDigest root;
  guint64 from = 0;
  if (!own(c, q->instance_name) || !sha256(c, q->digest_function) || !digest_of(c, q->root_digest, &root))
    return;
  if (*q->page_token && !g_ascii_string_to_unsigned(q->page_token, 10, 0, TREE_MAX, &from, NULL)) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "no such page");
    return;
  }
  guint page = q->page_size > 0 ? (guint)MIN(q->page_size, PAGE_DEFAULT) : PAGE_DEFAULT;
  g_autoptr(GArray) order = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr(GPtrArray) given = g_ptr_array_new_with_free_func(fk_message_free);
  gsize bytes_given = 0;
  guint64 at = 0;
  g_array_append_val(order, root);
  for (; at < order->len && given->len < page && bytes_given < PAGE_BYTES; at++) {
    FkDigest d = g_array_index(order, FkDigest, at);
    g_autoptr(GBytes) bytes = fk_blob_store_read_all(c->s->blobs, c->team, &d, c->s->message_max);
    if (!bytes) {
      if (at == 0) {
        fail(c, FK_GRPC_NOT_FOUND, "the root isn't there");
        return;
      }
      continue; /* "any part that is missing is left out" */
    }
    Rx__Directory *dir = unpacked_blob(&rx__directory__descriptor, bytes);
    if (!dir) {
      fail(c, FK_GRPC_INVALID_ARGUMENT, "a part of the tree is no directory");
      return;
    }
    for (gsize i = 0; i < dir->n_directories; i++) {
      FkDigest child;
      if (!fk_message_digest(dir->directories[i]->digest, &child) ||
          !g_hash_table_add(seen, g_strndup(child.hex, FK_DIGEST_HEX_LEN)))
        continue;
      if (order->len >= TREE_MAX) {
        fk_message_free(dir);
        fail(c, FK_GRPC_INVALID_ARGUMENT, "the tree has too many directories");
        return;
      }
      g_array_append_val(order, child);
    }
    if (at < from) {
      fk_message_free(dir);
      continue;
    }
    bytes_given += g_bytes_get_size(bytes);
    g_ptr_array_add(given, dir);
  }
  g_autofree char *token = at < order->len ? g_strdup_printf("%" G_GUINT64_FORMAT, at) : g_strdup("");
  Rx__GetTreeResponse r = RX__GET_TREE_RESPONSE__INIT;
  r.n_directories = given->len;
  r.directories = (Rx__Directory **)given->pdata;
  r.next_page_token = token;
  reply_and_end(c, &r);
}

/* ------------------------------------------------------------------ results */

/* All that a result refers to is there, the files of its trees too, and counts as used: it should still be
 * there when the client comes for it. `missing` gets what isn't. FALSE: the result can't be one. */
static gboolean complete(Call *c, const Rx__ActionResult *result, GArray *missing, const char **why) {
  g_autoptr(GArray) blobs = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  g_autoptr(GArray) trees = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  if (!fk_message_result_blobs(result, blobs, trees, why))
    return FALSE;
  for (guint i = 0; i < trees->len; i++) {
    g_autoptr(GBytes) bytes =
        fk_blob_store_read_all(c->s->blobs, c->team, &g_array_index(trees, FkDigest, i), 64 * 1024 * 1024);
    if (!bytes)
      continue; /* it is among the blobs, and missing there */
    Rx__Tree *tree = unpacked_blob(&rx__tree__descriptor, bytes);
    gboolean good = tree && fk_message_tree_blobs(tree, blobs, why);
    if (!tree)
      *why = "an output directory's tree is none";
    fk_message_free(tree);
    if (!good)
      return FALSE;
  }
  for (guint i = 0; i < blobs->len; i++)
    if (!fk_blob_store_has(c->s->blobs, c->team, &g_array_index(blobs, FkDigest, i)))
      g_array_append_val(missing, g_array_index(blobs, FkDigest, i));
  return TRUE;
}

static void get_result(Call *c, gpointer request) {
  const Rx__GetActionResultRequest *q = request;
  FkDigest action;
  if (!own(c, q->instance_name) || !sha256(c, q->digest_function) || !digest_of(c, q->action_digest, &action))
    return;
  g_autoptr(GBytes) bytes = fk_blob_store_get_result(c->s->blobs, c->team, &action);
  g_autoptr(GArray) missing = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  const char *why = NULL;
  Rx__ActionResult *r = bytes ? unpacked_blob(&rx__action_result__descriptor, bytes) : NULL;
  if (!r || !complete(c, r, missing, &why) || missing->len)
    fail(c, FK_GRPC_NOT_FOUND, "no such result");
  else
    reply_and_end(c, r);
  fk_message_free(r);
}

static void update_result(Call *c, gpointer request) {
  const Rx__UpdateActionResultRequest *q = request;
  FkDigest action;
  const char *why = NULL;
  g_autoptr(GArray) missing = g_array_new(FALSE, FALSE, sizeof(FkDigest));
  if (!own(c, q->instance_name) || !sha256(c, q->digest_function) || !digest_of(c, q->action_digest, &action))
    return;
  if (!q->action_result) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "a result is needed");
    return;
  }
  if (!complete(c, q->action_result, missing, &why)) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, why);
    return;
  }
  if (missing->len) {
    why = "the result refers to blobs that aren't there";
    fail_with(c, FK_GRPC_FAILED_PRECONDITION, why, fk_message_missing_status(why, missing));
    return;
  }
  g_autoptr(GBytes) bytes = fk_message_pack(q->action_result);
  gsize len;
  const guint8 *data = g_bytes_get_data(bytes, &len);
  FkBlobStatus o = fk_blob_store_put_result(c->s->blobs, c->team, &action, data, len);
  if (o == FK_BLOB_STATUS_OK)
    reply_and_end(c, q->action_result);
  else
    fail_blob(c, o);
}

/* ------------------------------------------------------------------ reading */

/* Up to a chunk's bytes, compressed or not. 0: the end. < 0: broken. */
static gssize next_bytes(Call *c, guint8 *to, gsize room) {
  if (!c->pack) {
    gssize n = fk_blob_reader_read(c->reader, to, (gsize)MIN(room, c->left));
    c->left -= (guint64)MAX(0, n);
    return n;
  }
  ZSTD_outBuffer out = {to, room, 0};
  guint8 plain[READ_CHUNK];
  while (out.pos < out.size) {
    gssize n = c->left ? fk_blob_reader_read(c->reader, plain, (gsize)MIN(sizeof plain, c->left)) : 0;
    if (n < 0)
      return n;
    c->left -= (guint64)n;
    ZSTD_inBuffer in = {plain, (gsize)n, 0};
    ZSTD_EndDirective how = c->left ? ZSTD_e_continue : ZSTD_e_end;
    gsize todo;
    /* there is always room for a chunk's worth, see below */
    do
      todo = ZSTD_compressStream2(c->pack, &out, &in, how);
    while (!ZSTD_isError(todo) && (in.pos < in.size || (how == ZSTD_e_end && todo)) && out.pos < out.size);
    if (ZSTD_isError(todo))
      return -1;
    if (how == ZSTD_e_end) {
      if (!todo)
        c->unpacked = TRUE; /* all is in */
      break;
    }
    if (out.size - out.pos < ZSTD_compressBound(READ_CHUNK))
      break;
  }
  return (gssize)out.pos;
}

static void read_on(Call *c) {
  g_autofree guint8 *chunk = g_malloc(SENT_CHUNK);
  while (c->pack ? !c->unpacked : c->left > 0) {
    gssize n = next_bytes(c, chunk, SENT_CHUNK);
    if (n < 0) {
      fail(c, FK_GRPC_DATA_LOSS, "the blob can't be read any more; it was dropped");
      return;
    }
    Rx__ReadResponse r = RX__READ_RESPONSE__INIT;
    r.data = (ProtobufCBinaryData){(gsize)n, chunk};
    if (n && !reply(c, &r))
      return; /* room() goes on */
  }
  fk_rpc_end(c->rpc, FK_GRPC_OK, NULL, NULL, 0);
}

static void byte_read(Call *c, gpointer request) {
  const Rx__ReadRequest *q = request;
  FkResourceName r;
  if (!fk_resource_name_parse(q->resource_name, FK_RESOURCE_READ, &r)) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "no blob's name");
    return;
  }
  if (!own(c, r.instance))
    return;
  if (q->read_offset < 0 || q->read_limit < 0 || (guint64)q->read_offset > r.digest.size) {
    fail(c, FK_GRPC_OUT_OF_RANGE, "the offset or limit is out of the blob");
    return;
  }
  if (r.zstd && q->read_limit) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "a compressed blob is read to its end");
    return;
  }
  FkBlobStatus o =
      fk_blob_store_open_reader(c->s->blobs, c->team, &r.digest, (guint64)q->read_offset, &c->reader);
  if (o != FK_BLOB_STATUS_OK) {
    fail_blob(c, o);
    return;
  }
  c->left = r.digest.size - (guint64)q->read_offset;
  if (q->read_limit)
    c->left = MIN(c->left, (guint64)q->read_limit);
  if (r.zstd)
    c->pack = ZSTD_createCStream();
  read_on(c);
}

/* ------------------------------------------------------------------ writing */

static void upload_free(gpointer p) {
  Upload *u = p;
  fk_upload_abort(u->upload);
  g_free(u->key);
  g_free(u->team);
  g_free(u);
}

static char *upload_key(const char *team, const FkResourceName *r) {
  return g_strdup_printf("%s\n%s\n%s\n%" G_GUINT64_FORMAT "\n%d", team, r->upload_id, r->digest.hex,
                         r->digest.size, r->zstd);
}

static void upload_forget(FkRemoteExecution *s, Upload *u) { g_hash_table_remove(s->uploads, u->key); }

static guint team_uploads(FkRemoteExecution *s, const char *team, Upload **oldest) {
  GHashTableIter it;
  gpointer v;
  guint n = 0;
  g_hash_table_iter_init(&it, s->uploads);
  *oldest = NULL;
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Upload *u = v;
    if (!g_str_equal(u->team, team))
      continue;
    n++;
    if (!u->by && (!*oldest || u->since_us < (*oldest)->since_us))
      *oldest = u;
  }
  return n;
}

static void written(Call *c, gint64 size) {
  Rx__WriteResponse r = RX__WRITE_RESPONSE__INIT;
  r.committed_size = size;
  reply_and_end(c, &r);
}

/* The upload that goes by that name, new or gone on with. FALSE: the call is answered. */
static gboolean take_upload(Call *c) {
  FkRemoteExecution *s = c->s;
  g_autofree char *key = upload_key(c->team, &c->resource);
  Upload *u = g_hash_table_lookup(s->uploads, key), *oldest;
  if (u && u->by) {
    fail(c, FK_GRPC_ABORTED, "somebody else writes this upload");
    return FALSE;
  }
  if (u && c->resource.zstd) { /* a compressed one begins anew: its state is gone with the call */
    upload_forget(s, u);
    u = NULL;
  }
  if (!u) {
    if (team_uploads(s, c->team, &oldest) >= UPLOADS_A_TEAM) {
      if (!oldest) {
        come_back(c, "too many uploads are under way");
        return FALSE;
      }
      upload_forget(s, oldest);
    }
    FkUpload *upload;
    FkBlobStatus o = fk_upload_begin(s->blobs, c->team, &c->resource.digest, &upload);
    if (o != FK_BLOB_STATUS_OK) {
      fail_blob(c, o);
      return FALSE;
    }
    u = g_new0(Upload, 1);
    *u = (Upload){upload, g_strdup(key), g_strdup(c->team), NULL, 0};
    g_hash_table_insert(s->uploads, u->key, u);
  }
  u->by = c;
  c->upload = u;
  return TRUE;
}

static FkBlobStatus write_some(Call *c, const guint8 *data, gsize len) {
  if (!c->resource.zstd)
    return fk_upload_write(c->upload->upload, data, len);
  if (!c->unpack)
    c->unpack = ZSTD_createDStream();
  ZSTD_inBuffer in = {data, len, 0};
  guint8 plain[READ_CHUNK];
  /* what it unpacks to is bounded by the digest's size: a write beyond it is a mismatch */
  for (;;) {
    ZSTD_outBuffer out = {plain, sizeof plain, 0};
    gsize todo = ZSTD_decompressStream(c->unpack, &out, &in);
    if (ZSTD_isError(todo))
      return FK_BLOB_STATUS_MISMATCH;
    FkBlobStatus o = fk_upload_write(c->upload->upload, plain, out.pos);
    if (o != FK_BLOB_STATUS_OK)
      return o;
    if (in.pos == in.size && out.pos < out.size)
      return FK_BLOB_STATUS_OK;
  }
}

static void byte_write(Call *c, gpointer request) {
  const Rx__WriteRequest *q = request;
  FkRemoteExecution *s = c->s;
  if (!c->named) {
    if (!fk_resource_name_parse(q->resource_name, FK_RESOURCE_WRITE, &c->resource)) {
      fail(c, FK_GRPC_INVALID_ARGUMENT, "no upload's name");
      return;
    }
    if (!own(c, c->resource.instance))
      return;
    c->named = TRUE;
    if (fk_blob_store_has(s->blobs, c->team, &c->resource.digest)) { /* nobody needs it again */
      written(c, c->resource.zstd ? -1 : (gint64)c->resource.digest.size);
      return;
    }
    if (!take_upload(c))
      return;
    c->taken = c->resource.zstd ? 0 : (gint64)fk_upload_written(c->upload->upload);
  } else if (*q->resource_name) {
    FkResourceName again;
    if (!fk_resource_name_parse(q->resource_name, FK_RESOURCE_WRITE, &again) ||
        !fk_digest_equal(&again.digest, &c->resource.digest) ||
        strcmp(again.upload_id, c->resource.upload_id) != 0) {
      fail(c, FK_GRPC_INVALID_ARGUMENT, "an upload keeps its name");
      return;
    }
  }
  if (q->write_offset != c->taken) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "the offset isn't where the upload stands");
    return;
  }
  FkBlobStatus o = write_some(c, q->data.data, q->data.len);
  c->taken += (gint64)q->data.len;
  if (o == FK_BLOB_STATUS_OK && !q->finish_write)
    return;
  Upload *u = c->upload;
  c->upload = NULL;
  if (o == FK_BLOB_STATUS_OK) {
    o = fk_upload_finish(u->upload);
    u->upload = NULL;
  }
  upload_forget(s, u);
  if (o == FK_BLOB_STATUS_OK)
    written(c, c->taken);
  else
    fail_blob(c, o);
}

static void query_write(Call *c, gpointer request) {
  const Rx__QueryWriteStatusRequest *q = request;
  FkResourceName r;
  if (!fk_resource_name_parse(q->resource_name, FK_RESOURCE_WRITE, &r)) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "no upload's name");
    return;
  }
  if (!own(c, r.instance))
    return;
  Rx__QueryWriteStatusResponse a = RX__QUERY_WRITE_STATUS_RESPONSE__INIT;
  g_autofree char *key = upload_key(c->team, &r);
  Upload *u = g_hash_table_lookup(c->s->uploads, key);
  a.complete = fk_blob_store_has(c->s->blobs, c->team, &r.digest);
  if (a.complete)
    a.committed_size = (gint64)r.digest.size;
  else if (u && !r.zstd)
    a.committed_size = (gint64)fk_upload_written(u->upload);
  else if (!u) {
    fail(c, FK_GRPC_NOT_FOUND, "no such upload");
    return;
  }
  reply_and_end(c, &a);
}

/* ------------------------------------------------------------------ calls */

static const Method methods[] = {
    {FK_PATH_CAPABILITIES, &rx__get_capabilities_request__descriptor, FALSE, capabilities},
    {FK_PATH_FIND_MISSING, &rx__find_missing_blobs_request__descriptor, FALSE, find_missing},
    {FK_PATH_BATCH_UPDATE, &rx__batch_update_blobs_request__descriptor, FALSE, batch_update},
    {FK_PATH_BATCH_READ, &rx__batch_read_blobs_request__descriptor, FALSE, batch_read},
    {FK_PATH_GET_TREE, &rx__get_tree_request__descriptor, FALSE, get_tree},
    {FK_PATH_GET_RESULT, &rx__get_action_result_request__descriptor, FALSE, get_result},
    {FK_PATH_UPDATE_RESULT, &rx__update_action_result_request__descriptor, FALSE, update_result},
    {FK_PATH_READ, &rx__read_request__descriptor, FALSE, byte_read},
    {FK_PATH_WRITE, &rx__write_request__descriptor, TRUE, byte_write},
    {FK_PATH_QUERY_WRITE, &rx__query_write_status_request__descriptor, FALSE, query_write},
};

static void on_begin(gpointer data, FkRpc *rpc) {
  FkRemoteExecution *s = data;
  Call *c = g_new0(Call, 1);
  c->s = s;
  c->rpc = rpc;
  fk_rpc_set_data(rpc, c);
  /* the key first: who has none learns nothing, not even which calls there are */
  const char *team = fk_keys_find_team(s->keys, fk_rpc_bearer(rpc), g_get_real_time() / G_USEC_PER_SEC);
  if (!team) {
    fail(c, FK_GRPC_UNAUTHENTICATED, "a team's key is needed");
    return;
  }
  c->team = g_strdup(team);
  for (guint i = 0; i < G_N_ELEMENTS(methods) && !c->method; i++)
    if (g_str_equal(methods[i].path, fk_rpc_path(rpc)))
      c->method = &methods[i];
  if (!c->method)
    fail(c, FK_GRPC_UNIMPLEMENTED, "no such call");
}

static void on_message(gpointer data, FkRpc *rpc, const guint8 *bytes, gsize len) {
  Call *c = fk_rpc_data(rpc);
  if (c->seen && !c->method->stream) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "one message is taken");
    return;
  }
  c->seen = TRUE;
  gpointer m = unpacked(c->method->request, bytes, len);
  if (!m) {
    fail(c, FK_GRPC_INVALID_ARGUMENT, "the message isn't one, or is out of all proportion");
    return;
  }
  c->method->message(c, m);
  fk_message_free(m);
}

static void on_half(gpointer data, FkRpc *rpc) {
  Call *c = fk_rpc_data(rpc);
  if (!c->seen)
    fail(c, FK_GRPC_INVALID_ARGUMENT, "a message is needed");
  else if (c->method->stream && !fk_rpc_ended(rpc))
    fail(c, FK_GRPC_INVALID_ARGUMENT, "the upload ends before it is finished; it can be gone on with");
}

static void on_room(gpointer data, FkRpc *rpc) {
  Call *c = fk_rpc_data(rpc);
  if (c->reader)
    read_on(c);
}

static void on_over(gpointer data, FkRpc *rpc) {
  FkRemoteExecution *s = data;
  Call *c = fk_rpc_data(rpc);
  fk_blob_reader_close(c->reader);
  ZSTD_freeCStream(c->pack);
  ZSTD_freeDStream(c->unpack);
  if (c->upload) { /* whoever sent may come back for it */
    c->upload->by = NULL;
    c->upload->since_us = g_get_monotonic_time();
    if (c->resource.zstd || fk_upload_written(c->upload->upload) == 0)
      upload_forget(s, c->upload);
  }
  g_free(c->team);
  g_free(c);
}

static const FkH2Callbacks calls = {on_begin, on_message, on_half, on_room, on_over};

/* ------------------------------------------------------------------ the server */

static void conn_over(gpointer data, FkH2Connection *c) {
  g_hash_table_steal(((FkRemoteExecution *)data)->conns, c);
}

static void serve(gpointer data, GIOStream *stream, GSocketAddress *local, GSocketAddress *remote) {
  FkRemoteExecution *s = data;
  g_hash_table_add(s->conns, fk_h2_connection_new(stream, &s->limits, &calls, s,
                                                  (gint64)(s->settings->idle_s * 1e6), conn_over, s));
}

static FkKeys *read_keys(FkRemoteExecution *s, gint64 *mtime, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  GStatBuf st;
  if (g_stat(s->settings->keys, &st) == 0)
    *mtime = (gint64)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
  if (!g_file_get_contents(s->settings->keys, &text, &len, error))
    return NULL;
  FkKeys *k = fk_keys_parse(text, len, error);
  if (!k)
    g_prefix_error(error, "%s: ", s->settings->keys);
  return k;
}

/* Keys that were changed count from now on; a file that can't be read leaves those that stood. Uploads that
 * nobody goes on with are given up. */
static gboolean on_second(gpointer data) {
  FkRemoteExecution *s = data;
  GStatBuf st;
  if (g_stat(s->settings->keys, &st) == 0 &&
      (gint64)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec != s->keys_mtime) {
    g_autoptr(GError) error = NULL;
    FkKeys *k = read_keys(s, &s->keys_mtime, &error);
    if (k) {
      fk_keys_free(s->keys);
      s->keys = k;
      g_message("remote execution: %u keys", fk_keys_count(k));
    } else {
      g_warning("remote execution: the keys stay as they were: %s", error->message);
    }
  }
  GHashTableIter it;
  gpointer v;
  gint64 old = g_get_monotonic_time() - (gint64)(s->settings->upload_s * 1e6);
  g_hash_table_iter_init(&it, s->uploads);
  while (g_hash_table_iter_next(&it, NULL, &v))
    if (!((Upload *)v)->by && ((Upload *)v)->since_us < old)
      g_hash_table_iter_remove(&it);
  return G_SOURCE_CONTINUE;
}

static FkAdmissionLimits door_limits(const FkRemoteExecutionSettings *set) {
  const FkAdmissionResources means = {set->connections * 4 + 100, 1e6, 0};
  const FkAdmissionOptions wishes = {.connections = set->connections};
  FkAdmissionLimits l = fk_admission_limits_derive(&means, &wishes);
  l.connections[FK_CONNECTION_CLASS_CLIENT] = (guint)set->connections;
  return l;
}

static gpointer run(gpointer data) {
  FkRemoteExecution *s = data;
  g_main_context_push_thread_default(s->context);
  g_main_loop_run(s->loop);
  GHashTableIter it;
  gpointer c;
  g_hash_table_iter_init(&it, s->conns);
  while (g_hash_table_iter_next(&it, &c, NULL)) {
    g_hash_table_iter_steal(&it);
    fk_h2_connection_free(c);
  }
  fk_server_free(s->door);
  s->door = NULL;
  g_main_context_pop_thread_default(s->context);
  return NULL;
}

static void rexec_free(FkRemoteExecution *s) {
  fk_server_free(s->door);
  g_hash_table_unref(s->conns);
  g_hash_table_unref(s->uploads);
  fk_keys_free(s->keys);
  fk_blob_store_close(s->blobs);
  g_main_loop_unref(s->loop);
  g_main_context_unref(s->context);
  g_free(s);
}

FkRemoteExecution *fk_remote_execution_start(const FkRemoteExecutionSettings *set, GError **error) {
  FkRemoteExecution *s = g_new0(FkRemoteExecution, 1);
  s->settings = set;
  s->context = g_main_context_new();
  s->loop = g_main_loop_new(s->context, FALSE);
  s->conns = g_hash_table_new(NULL, NULL);
  s->uploads = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, upload_free);
  s->message_max = (gsize)(set->message_mb * MB);
  s->limits = (FkH2Limits){(guint)set->calls, s->message_max + READ_CHUNK, 4 * s->message_max, QUEUED, 16384};
  const FkBlobIndexLimits kept = {(guint64)(set->bytes_gb * 1024 * MB), (guint)set->blobs};
  const FkAdmissionLimits l = door_limits(set);
  const FkListenerHandler keeper = {TRUE, FK_CONNECTION_CLASS_CLIENT, NULL, NULL, serve, s};
  g_main_context_push_thread_default(s->context);
  s->door = fk_server_new(&l);
  gboolean ok = (s->keys = read_keys(s, &s->keys_mtime, error)) != NULL &&
                (s->blobs = fk_blob_store_open(set->directory, &kept, error)) != NULL &&
                fk_server_listen(s->door, set->listen, &keeper, error) != NULL;
  g_main_context_pop_thread_default(s->context);
  if (!ok) {
    rexec_free(s);
    return NULL;
  }
  g_autoptr(GSource) second = g_timeout_source_new_seconds(KEYS_S);
  g_source_set_callback(second, on_second, s, NULL);
  g_source_attach(second, s->context);
  s->thread = g_thread_new("remote-execution", run, s);
  return s;
}

static gboolean quit(gpointer data) {
  g_main_loop_quit(data);
  return G_SOURCE_REMOVE;
}

void fk_remote_execution_stop(FkRemoteExecution *s) {
  if (!s)
    return;
  g_autoptr(GSource) stop = g_idle_source_new();
  g_source_set_callback(stop, quit, s->loop, NULL);
  g_source_attach(stop, s->context);
  g_thread_join(s->thread);
  rexec_free(s);
}
