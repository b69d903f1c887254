#include "grpc/frames.h"

#define PREFIX_BYTES 5

void fk_grpc_frame_parser_init(FkGrpcFrameParser *f, gsize max) {
  *f = (FkGrpcFrameParser){g_byte_array_new(), max};
}

void fk_grpc_frame_parser_clear(FkGrpcFrameParser *f) { g_clear_pointer(&f->bytes, g_byte_array_unref); }

static gsize message_length(const FkGrpcFrameParser *f) {
  const guint8 *p = f->bytes->data;
  return (gsize)p[1] << 24 | (gsize)p[2] << 16 | (gsize)p[3] << 8 | p[4];
}

static gsize append_up_to(FkGrpcFrameParser *f, gsize up_to, const guint8 *data, gsize len) {
  gsize n = MIN(len, up_to - f->bytes->len);
  g_byte_array_append(f->bytes, data, (guint)n);
  return n;
}

FkGrpcStatus fk_grpc_frame_parser_feed(FkGrpcFrameParser *f, const guint8 *data, gsize len, gsize *used,
                                       const guint8 **message, gsize *message_len) {
  *used = 0;
  *message = NULL;
  /* what was given out last is the caller's no longer */
  if (f->bytes->len >= PREFIX_BYTES && f->bytes->len == PREFIX_BYTES + message_length(f))
    g_byte_array_set_size(f->bytes, 0);
  if (f->bytes->len < PREFIX_BYTES)
    *used = append_up_to(f, PREFIX_BYTES, data, len);
  if (f->bytes->len < PREFIX_BYTES)
    return FK_GRPC_OK;
  if (f->bytes->data[0])
    return FK_GRPC_UNIMPLEMENTED;
  if (message_length(f) > f->max)
    return FK_GRPC_RESOURCE_EXHAUSTED;
  *used += append_up_to(f, PREFIX_BYTES + message_length(f), data + *used, len - *used);
  if (f->bytes->len == PREFIX_BYTES + message_length(f)) {
    *message = f->bytes->data + PREFIX_BYTES;
    *message_len = message_length(f);
  }
  return FK_GRPC_OK;
}

gboolean fk_grpc_frame_parser_is_empty(const FkGrpcFrameParser *f) {
  return f->bytes->len == 0 ||
         (f->bytes->len >= PREFIX_BYTES && f->bytes->len == PREFIX_BYTES + message_length(f));
}

void fk_grpc_frame_prefix(guint8 out[5], gsize len) {
  out[0] = 0;
  out[1] = (guint8)(len >> 24);
  out[2] = (guint8)(len >> 16);
  out[3] = (guint8)(len >> 8);
  out[4] = (guint8)len;
}
