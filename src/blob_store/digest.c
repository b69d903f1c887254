#include "blob_store/digest.h"

#include <string.h>

const FkDigest fk_digest_empty = {"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", 0};

gboolean fk_digest_parse(FkDigest *digest, const char *hex, gint64 size) {
  if (!hex || strlen(hex) != FK_DIGEST_HEX_LEN || strspn(hex, "0123456789abcdef") != FK_DIGEST_HEX_LEN ||
      size < 0 || (guint64)size > FK_BLOB_BYTES_MAX)
    return FALSE;
  memset(digest, 0, sizeof *digest);
  memcpy(digest->hex, hex, FK_DIGEST_HEX_LEN);
  digest->size = (guint64)size;
  /* For size 0, only the hash of the empty blob is valid. */
  return size > 0 || strcmp(hex, fk_digest_empty.hex) == 0;
}

gboolean fk_digest_equal(const FkDigest *a, const FkDigest *b) {
  return a->size == b->size && memcmp(a->hex, b->hex, FK_DIGEST_HEX_LEN) == 0;
}

/* Copies the next segment of a resource name to `out`, and advances `path` beyond the segment and the slash
 * after it, if any. Returns FALSE if the segment is empty or too long. */
static gboolean parse_segment(const char **path, char *out, gsize out_size) {
  gsize len = strcspn(*path, "/");
  if (len == 0 || len >= out_size)
    return FALSE;
  memcpy(out, *path, len);
  out[len] = 0;
  *path += len;
  *path += **path == '/';
  return TRUE;
}

/* Returns whether `segment` can be the first segment of a resource name without an instance. */
static gboolean is_first_segment(const char *segment, FkResourceUse use) {
  if (use == FK_RESOURCE_WRITE)
    return g_str_equal(segment, "uploads");
  return g_str_equal(segment, "blobs") || g_str_equal(segment, "compressed-blobs");
}

gboolean fk_resource_name_parse(const char *name, FkResourceUse use, FkResourceName *out) {
  char segment[sizeof out->instance], size_text[24];
  const char *path = name ? name : "";
  guint64 size;
  memset(out, 0, sizeof *out);
  if (!parse_segment(&path, segment, sizeof segment))
    return FALSE;
  if (!is_first_segment(segment, use)) {
    memcpy(out->instance, segment, sizeof segment);
    if (!parse_segment(&path, segment, sizeof segment))
      return FALSE;
  }
  if (use == FK_RESOURCE_WRITE &&
      (!g_str_equal(segment, "uploads") || !parse_segment(&path, out->upload_id, sizeof out->upload_id) ||
       !parse_segment(&path, segment, sizeof segment)))
    return FALSE;
  if (g_str_equal(segment, "compressed-blobs")) {
    out->zstd = TRUE;
    if (!parse_segment(&path, segment, sizeof segment) || !g_str_equal(segment, "zstd"))
      return FALSE;
  } else if (!g_str_equal(segment, "blobs")) {
    return FALSE;
  }
  if (!parse_segment(&path, segment, sizeof segment) || !parse_segment(&path, size_text, sizeof size_text) ||
      !g_ascii_string_to_unsigned(size_text, 10, 0, FK_BLOB_BYTES_MAX, &size, NULL))
    return FALSE;
  if (use == FK_RESOURCE_READ && *path)
    return FALSE; /* only an upload's name may have further segments, such as a file name */
  return fk_digest_parse(&out->digest, segment, (gint64)size);
}
