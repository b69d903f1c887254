/* gRPC's length-prefixed messages: five bytes (whether it is compressed, its length), then the message. A
 * state machine whose memory is bounded by the longest message allowed. */
#pragma once
#include <glib.h>

#include "grpc/status.h"

#define FK_GRPC_FRAME_PREFIX_BYTES 5

typedef struct {
  GByteArray *bytes; /* of the present message with its prefix, as far as they have come */
  gsize message_bytes_max;
} FkGrpcFrameParser;

void fk_grpc_frame_parser_init(FkGrpcFrameParser *parser, gsize message_bytes_max);
void fk_grpc_frame_parser_clear(FkGrpcFrameParser *parser);
/* Takes bytes up to the end of one message at most, and says in `used` how many. `message` is NULL, or a
 * complete message that is valid until the next call. Any status but OK ends the call: the message is too
 * long (RESOURCE_EXHAUSTED, known from its prefix before it comes), or compressed, which the server never
 * offered (UNIMPLEMENTED). */
FkGrpcStatus fk_grpc_frame_parser_feed(FkGrpcFrameParser *parser, const guint8 *data, gsize len, gsize *used,
                                       const guint8 **message, gsize *message_len);
/* No incomplete message is buffered. */
gboolean fk_grpc_frame_parser_is_empty(const FkGrpcFrameParser *parser);
/* The prefix of an uncompressed message. */
void fk_grpc_frame_prefix(guint8 out[FK_GRPC_FRAME_PREFIX_BYTES], gsize len);
