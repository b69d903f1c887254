/* Declarations that the source files of the blob store share. Private to src/blob_store. */
#pragma once
#include <openssl/evp.h>

#include "blob_store/blob_database.h"
#include "blob_store/blob_store.h"

struct FkBlobStore {
  char *dir;
  FkBlobIndex *index;
  FkBlobDatabase *database;
  guint64 next_upload;   /* number of the next upload; names its temporary file */
  guint unrecorded_uses; /* uses since fk_blob_store_record_use() last updated the database */
};

/* Each of the next three functions returns a path, which the caller frees. */
char *fk_blob_store_blob_dir_path(const FkBlobStore *store, const char *team, const FkDigest *digest);
char *fk_blob_store_blob_path(const FkBlobStore *store, const char *team, const FkDigest *digest);
char *fk_blob_store_upload_path(FkBlobStore *store); /* returns a different path for each call */

/* Reserves capacity. Evicts entries until both limits of the index are met or all entries are pinned.
 * Returns FALSE, and evicts nothing, if fk_blob_index_reserve() returns FALSE. */
gboolean fk_blob_store_reserve(FkBlobStore *store, const char *team, guint64 bytes);
/* Records a use of the entry in the index, and every 256th use of the store also in the database. */
void fk_blob_store_record_use(FkBlobStore *store, FkBlobEntry *entry);
/* Removes the entry from the database and the index. If the entry is a blob, deletes its file. */
void fk_blob_store_evict(FkBlobStore *store, FkBlobEntry *entry);

/* Returns FULL if `error`, an errno, means that the disk or the disk quota is full; otherwise IO_ERROR. */
FkBlobStatus fk_blob_status_from_errno(int error);
/* Returns a new SHA-256 context, to be freed with EVP_MD_CTX_free(). */
EVP_MD_CTX *fk_blob_hash_new(void);
/* Finalizes the context and returns whether its hash equals the digest's hash. Doesn't compare the size.
 */
gboolean fk_blob_hash_matches(EVP_MD_CTX *hash, const FkDigest *digest);
