#include "grpc/frames.h"

#define PREFIX_BYTES FK_GRPC_FRAME_PREFIX_BYTES

void fk_grpc_frame_parser_init(FkGrpcFrameParser *parser, gsize message_bytes_max) {
  *parser = (FkGrpcFrameParser){g_byte_array_new(), message_bytes_max};
}

void fk_grpc_frame_parser_clear(FkGrpcFrameParser *parser) {
  g_clear_pointer(&parser->bytes, g_byte_array_unref);
}

/* Returns the message length that the prefix declares. */
static gsize message_length(const FkGrpcFrameParser *parser) {
  const guint8 *prefix = parser->bytes->data;
  return (gsize)prefix[1] << 24 | (gsize)prefix[2] << 16 | (gsize)prefix[3] << 8 | prefix[4];
}

static gboolean is_complete(const FkGrpcFrameParser *parser) {
  return parser->bytes->len >= PREFIX_BYTES && parser->bytes->len == PREFIX_BYTES + message_length(parser);
}

/* Appends bytes until `up_to` are buffered. Returns how many it appended. */
static gsize append_up_to(FkGrpcFrameParser *parser, gsize up_to, const guint8 *data, gsize len) {
  gsize taken = MIN(len, up_to - parser->bytes->len);
  g_byte_array_append(parser->bytes, data, (guint)taken);
  return taken;
}

FkGrpcStatus fk_grpc_frame_parser_feed(FkGrpcFrameParser *parser, const guint8 *data, gsize len, gsize *used,
                                       const guint8 **message, gsize *message_len) {
  *used = 0;
  *message = NULL;
  if (is_complete(parser)) /* returned by the previous call */
    g_byte_array_set_size(parser->bytes, 0);
  if (parser->bytes->len < PREFIX_BYTES)
    *used = append_up_to(parser, PREFIX_BYTES, data, len);
  if (parser->bytes->len < PREFIX_BYTES)
    return FK_GRPC_OK;
  if (parser->bytes->data[0])
    return FK_GRPC_UNIMPLEMENTED;
  if (message_length(parser) > parser->message_bytes_max)
    return FK_GRPC_RESOURCE_EXHAUSTED;
  *used += append_up_to(parser, PREFIX_BYTES + message_length(parser), data + *used, len - *used);
  if (is_complete(parser)) {
    *message = parser->bytes->data + PREFIX_BYTES;
    *message_len = message_length(parser);
  }
  return FK_GRPC_OK;
}

gboolean fk_grpc_frame_parser_is_empty(const FkGrpcFrameParser *parser) {
  return parser->bytes->len == 0 || is_complete(parser);
}

void fk_grpc_frame_prefix(guint8 out[PREFIX_BYTES], gsize len) {
  out[0] = 0;
  out[1] = (guint8)(len >> 24);
  out[2] = (guint8)(len >> 16);
  out[3] = (guint8)(len >> 8);
  out[4] = (guint8)len;
}
