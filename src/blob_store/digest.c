#include "blob_store/digest.h"

#include <string.h>

const FkDigest fk_digest_empty = {"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", 0};

gboolean fk_digest_parse(FkDigest *d, const char *hex, gint64 size) {
  if (!hex || strlen(hex) != FK_DIGEST_HEX_LEN || strspn(hex, "0123456789abcdef") != FK_DIGEST_HEX_LEN ||
      size < 0 || (guint64)size > FK_BLOB_BYTES_MAX)
    return FALSE;
  memset(d, 0, sizeof *d);
  memcpy(d->hex, hex, FK_DIGEST_HEX_LEN);
  d->size = (guint64)size;
  /* only one blob has no bytes; another hash with that size names nothing */
  return size > 0 || strcmp(hex, fk_digest_empty.hex) == 0;
}

gboolean fk_digest_equal(const FkDigest *a, const FkDigest *b) {
  return a->size == b->size && memcmp(a->hex, b->hex, FK_DIGEST_HEX_LEN) == 0;
}

/* One segment of a path into `out`; FALSE when it is empty or too long. */
static gboolean take_segment(const char **at, char *out, gsize room) {
  gsize n = strcspn(*at, "/");
  if (n == 0 || n >= room)
    return FALSE;
  memcpy(out, *at, n);
  out[n] = 0;
  *at += n;
  *at += **at == '/';
  return TRUE;
}

gboolean fk_resource_name_parse(const char *name, FkResourceUse use, FkResourceName *out) {
  char word[65], size[24];
  const char *at = name ? name : "";
  memset(out, 0, sizeof *out);
  if (!take_segment(&at, word, sizeof word))
    return FALSE;
  gboolean first = g_str_equal(word, use == FK_RESOURCE_WRITE ? "uploads" : "blobs") ||
                   (use == FK_RESOURCE_READ && g_str_equal(word, "compressed-blobs"));
  if (!first) {
    memcpy(out->instance, word, sizeof word);
    if (!take_segment(&at, word, sizeof word))
      return FALSE;
  }
  if (use == FK_RESOURCE_WRITE &&
      (!g_str_equal(word, "uploads") || !take_segment(&at, out->upload_id, sizeof out->upload_id) ||
       !take_segment(&at, word, sizeof word)))
    return FALSE;
  if (g_str_equal(word, "compressed-blobs")) {
    out->zstd = TRUE;
    if (!take_segment(&at, word, sizeof word) || !g_str_equal(word, "zstd"))
      return FALSE;
  } else if (!g_str_equal(word, "blobs")) {
    return FALSE;
  }
  guint64 n;
  if (!take_segment(&at, word, sizeof word) || !take_segment(&at, size, sizeof size) ||
      !g_ascii_string_to_unsigned(size, 10, 0, FK_BLOB_BYTES_MAX, &n, NULL))
    return FALSE;
  /* a writer may add what it likes, a file's name say; a reader may not */
  return (use == FK_RESOURCE_WRITE || *at == 0) && fk_digest_parse(&out->digest, word, (gint64)n);
}
