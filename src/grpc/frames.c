#include "grpc/frames.h"

#define PREFIX 5

void fk_frames_init(FkFrames *f, gsize max) { *f = (FkFrames){g_byte_array_new(), max}; }

void fk_frames_clear(FkFrames *f) { g_clear_pointer(&f->bytes, g_byte_array_unref); }

static gsize length(const FkFrames *f) {
  const guint8 *p = f->bytes->data;
  return (gsize)p[1] << 24 | (gsize)p[2] << 16 | (gsize)p[3] << 8 | p[4];
}

static gsize take(FkFrames *f, gsize up_to, const guint8 *data, gsize len) {
  gsize n = MIN(len, up_to - f->bytes->len);
  g_byte_array_append(f->bytes, data, (guint)n);
  return n;
}

FkGrpc fk_frames_feed(FkFrames *f, const guint8 *data, gsize len, gsize *used, const guint8 **message,
                      gsize *message_len) {
  *used = 0;
  *message = NULL;
  /* what was given out last is the caller's no longer */
  if (f->bytes->len >= PREFIX && f->bytes->len == PREFIX + length(f))
    g_byte_array_set_size(f->bytes, 0);
  if (f->bytes->len < PREFIX)
    *used = take(f, PREFIX, data, len);
  if (f->bytes->len < PREFIX)
    return FK_GRPC_OK;
  if (f->bytes->data[0])
    return FK_GRPC_UNIMPLEMENTED;
  if (length(f) > f->max)
    return FK_GRPC_RESOURCE_EXHAUSTED;
  *used += take(f, PREFIX + length(f), data + *used, len - *used);
  if (f->bytes->len == PREFIX + length(f)) {
    *message = f->bytes->data + PREFIX;
    *message_len = length(f);
  }
  return FK_GRPC_OK;
}

gboolean fk_frames_empty(const FkFrames *f) {
  return f->bytes->len == 0 || (f->bytes->len >= PREFIX && f->bytes->len == PREFIX + length(f));
}

void fk_frames_prefix(guint8 out[5], gsize len) {
  out[0] = 0;
  out[1] = (guint8)(len >> 24);
  out[2] = (guint8)(len >> 16);
  out[3] = (guint8)(len >> 8);
  out[4] = (guint8)len;
}
