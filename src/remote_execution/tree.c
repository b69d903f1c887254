/* ContentAddressableStorage.GetTree: returns a root directory and all directories below it, in pages.
 *
 * The order is breadth first. Each distinct directory is returned once, even if several directories refer to
 * it; otherwise a small set of directories with many references to each other could give a huge response. A
 * page token is the index of the page's first directory in this order. Directories are addressed by
 * content, so the order is the same in each request unless a directory was evicted or uploaded in between.
 * Each request walks the tree from the root again, because no state is kept between pages. */
#include "remote_execution/cache_call.h"

#define TREE_DIRECTORIES_MAX 100000
#define PAGE_DIRECTORIES_MAX 1000
#define PAGE_BYTES_MAX (1 << 20) /* a page ends when its directories reach this total size */

typedef struct {
  FkCacheCall *call;
  GArray *queue;     /* FkDigest of each directory found so far, in breadth-first order */
  GHashTable *found; /* hashes of the directories in `queue`, except the root */
  guint64 next;      /* index in `queue` of the directory to visit next */
  GPtrArray *page;   /* Rx__Directory that belong to the response */
  gsize page_bytes;  /* serialized size of the directories in `page` */
} TreeWalk;

static void tree_walk_clear(TreeWalk *walk) {
  g_array_unref(walk->queue);
  g_hash_table_unref(walk->found);
  g_ptr_array_unref(walk->page);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(TreeWalk, tree_walk_clear)

/* Appends the directory's subdirectories that aren't in the queue yet. Ignores malformed digests. Returns
 * FALSE if the tree has too many directories, after ending the call with an error. */
static gboolean append_children(TreeWalk *walk, const Rx__Directory *directory) {
  for (gsize i = 0; i < directory->n_directories; i++) {
    FkDigest child;
    if (!fk_message_digest(directory->directories[i]->digest, &child) ||
        !g_hash_table_add(walk->found, g_strndup(child.hex, FK_DIGEST_HEX_LEN)))
      continue;
    if (walk->queue->len >= TREE_DIRECTORIES_MAX) {
      fk_cache_call_fail(walk->call, FK_GRPC_INVALID_ARGUMENT, "the tree has too many directories");
      return FALSE;
    }
    g_array_append_val(walk->queue, child);
  }
  return TRUE;
}

/* Visits the next directory of the queue. Appends its subdirectories to the queue. Adds the directory to
 * the page unless its index in the queue is less than `first`, the index of the page's first directory.
 * Skips a directory other than the root that is missing or can't be read. Returns FALSE, after ending the
 * call with an error, if the root can't be read, the directory is malformed, or the tree has too many
 * directories. */
static gboolean visit_next(TreeWalk *walk, guint64 first) {
  FkCacheService *service = walk->call->service;
  guint64 index = walk->next++;
  FkDigest digest = g_array_index(walk->queue, FkDigest, index);
  g_autoptr(GBytes) bytes =
      fk_blob_store_read_all(service->blobs, walk->call->team, &digest, service->message_bytes_max);
  if (!bytes && index == 0) {
    fk_cache_call_fail(walk->call, FK_GRPC_NOT_FOUND, "the root isn't there");
    return FALSE;
  }
  if (!bytes)
    return TRUE; /* the API requires that missing directories are left out */
  Rx__Directory *directory = fk_cache_call_unpack_blob(&rx__directory__descriptor, bytes);
  if (!directory) {
    fk_cache_call_fail(walk->call, FK_GRPC_INVALID_ARGUMENT, "a part of the tree is no directory");
    return FALSE;
  }
  gboolean appended = append_children(walk, directory);
  if (!appended || index < first) {
    fk_message_free(directory);
    return appended;
  }
  walk->page_bytes += g_bytes_get_size(bytes);
  g_ptr_array_add(walk->page, directory);
  return TRUE;
}

static void reply_page(const TreeWalk *walk) {
  gboolean more = walk->next < walk->queue->len;
  g_autofree char *next_page = more ? g_strdup_printf("%" G_GUINT64_FORMAT, walk->next) : g_strdup("");
  Rx__GetTreeResponse response = RX__GET_TREE_RESPONSE__INIT;
  response.n_directories = walk->page->len;
  response.directories = (Rx__Directory **)walk->page->pdata;
  response.next_page_token = next_page;
  fk_cache_call_reply(walk->call, &response);
}

void fk_cache_get_tree(FkCacheCall *call, gpointer message) {
  const Rx__GetTreeRequest *request = message;
  FkDigest root;
  guint64 first = 0;
  if (!fk_cache_call_check_instance(call, request->instance_name) ||
      !fk_cache_call_check_digest_function(call, request->digest_function) ||
      !fk_cache_call_parse_digest(call, request->root_digest, &root))
    return;
  if (*request->page_token &&
      !g_ascii_string_to_unsigned(request->page_token, 10, 0, TREE_DIRECTORIES_MAX, &first, NULL)) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "no such page");
    return;
  }
  guint page_size =
      request->page_size > 0 ? (guint)MIN(request->page_size, PAGE_DIRECTORIES_MAX) : PAGE_DIRECTORIES_MAX;
  g_auto(TreeWalk) walk = {.call = call,
                           .queue = g_array_new(FALSE, FALSE, sizeof(FkDigest)),
                           .found = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                           .page = g_ptr_array_new_with_free_func(fk_message_free)};
  g_array_append_val(walk.queue, root);
  while (walk.next < walk.queue->len && walk.page->len < page_size && walk.page_bytes < PAGE_BYTES_MAX)
    if (!visit_next(&walk, first))
      return;
  reply_page(&walk);
}
