/* A parser for gRPC's length-prefixed messages. Each message follows a prefix of five bytes: a compression
 * flag and the message's length. The parser buffers one message at most, so the longest message allowed
 * bounds its memory. */
#pragma once
#include <glib.h>

#include "grpc/status.h"

#define FK_GRPC_FRAME_PREFIX_BYTES 5

typedef struct {
  GByteArray *bytes;       /* received part of the current message, with its prefix */
  gsize message_bytes_max; /* maximum length of a message, without its prefix */
} FkGrpcFrameParser;

void fk_grpc_frame_parser_init(FkGrpcFrameParser *parser, gsize message_bytes_max);
void fk_grpc_frame_parser_clear(FkGrpcFrameParser *parser);
/* Consumes bytes up to the end of one message at most, and sets `used` to their number. Sets `message` to a
 * complete message, which is valid until the next call, or to NULL. Returns RESOURCE_EXHAUSTED if the prefix
 * declares a message that is too long, UNIMPLEMENTED if the message is compressed (the server never offers
 * compression), else OK. The caller must end the gRPC call on any status but OK. */
FkGrpcStatus fk_grpc_frame_parser_feed(FkGrpcFrameParser *parser, const guint8 *data, gsize len, gsize *used,
                                       const guint8 **message, gsize *message_len);
/* Returns TRUE if the parser is between two messages: no part of an incomplete message is buffered. */
gboolean fk_grpc_frame_parser_is_empty(const FkGrpcFrameParser *parser);
/* Writes the prefix of an uncompressed message of `len` bytes to `out`. */
void fk_grpc_frame_prefix(guint8 out[FK_GRPC_FRAME_PREFIX_BYTES], gsize len);
