/* What names a blob, and the resource names that ByteStream gives to blobs. */
#pragma once
#include <glib.h>

#define FK_DIGEST_HEX_LEN 64
#define FK_BLOB_BYTES_MAX (G_GUINT64_CONSTANT(1) << 40) /* larger digests are refused as malformed */

/* SHA-256 in lower-case hexadecimal, and the size in bytes. Plain data. */
typedef struct {
  char hex[FK_DIGEST_HEX_LEN + 1];
  guint64 size;
} FkDigest;

/* FALSE unless `hex` is 64 lower-case digits and the size is possible. */
gboolean fk_digest_parse(FkDigest *digest, const char *hex, gint64 size);
gboolean fk_digest_equal(const FkDigest *a, const FkDigest *b);
/* The empty blob, which is always present. */
extern const FkDigest fk_digest_empty;

typedef enum { FK_RESOURCE_READ, FK_RESOURCE_WRITE } FkResourceUse;

typedef struct {
  FkDigest digest;
  gboolean zstd;      /* compressed on the wire */
  char instance[65];  /* the team; "" when left out */
  char upload_id[65]; /* WRITE: the client's name for the upload */
} FkResourceName;

/* Parses `[{instance}/]blobs/{hash}/{size}` or
 * `[{instance}/]uploads/{id}/blobs/{hash}/{size}[/{anything}]`, with `compressed-blobs/zstd/` instead of
 * `blobs/` for compressed ones. FALSE: malformed. */
gboolean fk_resource_name_parse(const char *name, FkResourceUse use, FkResourceName *out);
