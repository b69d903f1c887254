/* What the files of the blob store share. Private to src/blob_store. */
#pragma once
#include <openssl/evp.h>

#include "blob_store/blob_database.h"
#include "blob_store/blob_store.h"

struct FkBlobStore {
  char *dir;
  FkBlobIndex *index;
  FkBlobDatabase *database;
  guint64 next_upload;   /* names the uploads' files */
  guint unrecorded_uses; /* that the database doesn't know of */
};

/* Paths, to be freed. */
char *fk_blob_store_blob_dir(const FkBlobStore *store, const char *team, const FkDigest *digest);
char *fk_blob_store_blob_file(const FkBlobStore *store, const char *team, const FkDigest *digest);
char *fk_blob_store_upload_file(FkBlobStore *store); /* a new one each time */

/* Reserves the capacity, and evicts what is needed. FALSE: there isn't enough. */
gboolean fk_blob_store_reserve(FkBlobStore *store, const char *team, guint64 bytes);
void fk_blob_store_record_use(FkBlobStore *store, FkBlobEntry *entry);
/* Removes the entry and its file. */
void fk_blob_store_evict(FkBlobStore *store, FkBlobEntry *entry);

/* errno as a status: FULL or IO_ERROR. */
FkBlobStatus fk_blob_status_from_errno(int error);
/* A hash of no bytes yet. To be freed with EVP_MD_CTX_free(). */
EVP_MD_CTX *fk_blob_hash_new(void);
/* Whether all that was hashed is the blob with that digest. Ends the hash. */
gboolean fk_blob_hash_matches(EVP_MD_CTX *hash, const FkDigest *digest);
