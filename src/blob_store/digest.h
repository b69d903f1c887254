/* Digests, which identify blobs, and the resource names of blobs in the ByteStream API. */
#pragma once
#include <glib.h>

#define FK_DIGEST_HEX_LEN 64
#define FK_BLOB_BYTES_MAX (G_GUINT64_CONSTANT(1) << 40) /* a digest with a larger size is malformed */

/* The SHA-256 hash of a blob in lower-case hexadecimal, and its size in bytes. Can be copied by assignment.
 */
typedef struct {
  char hex[FK_DIGEST_HEX_LEN + 1];
  guint64 size;
} FkDigest;

/* Parses a digest. Returns FALSE unless `hex` is 64 lower-case hexadecimal digits and `size` is from 0 to
 * FK_BLOB_BYTES_MAX. Size 0 is valid only with the hash of the empty blob. */
gboolean fk_digest_parse(FkDigest *digest, const char *hex, gint64 size);
gboolean fk_digest_equal(const FkDigest *a, const FkDigest *b);
/* The digest of the empty blob, which always counts as stored. */
extern const FkDigest fk_digest_empty;

typedef enum { FK_RESOURCE_READ, FK_RESOURCE_WRITE } FkResourceUse;

typedef struct {
  FkDigest digest;
  gboolean zstd;      /* whether the data is sent compressed with zstd */
  char instance[65];  /* instance name, which is the team's name; "" if the resource name contains none */
  char upload_id[65]; /* the client's identifier of the upload; "" for FK_RESOURCE_READ */
} FkResourceName;

/* Parses a resource name: `[{instance}/]blobs/{hash}/{size}` to read, or
 * `[{instance}/]uploads/{id}/blobs/{hash}/{size}[/{anything}]` to write. For compressed data,
 * `compressed-blobs/zstd/` replaces `blobs/`. Returns FALSE if the name is malformed. */
gboolean fk_resource_name_parse(const char *name, FkResourceUse use, FkResourceName *out);
