/* gRPC's length-prefixed messages: five bytes (compressed or not, length), then the message. A small state
 * machine; its memory is bounded by the longest message allowed. */
#pragma once
#include <glib.h>

#include "grpc/status.h"

typedef struct {
  GByteArray *bytes; /* what has come of a message and its prefix */
  gsize max;         /* bytes of a message */
} FkGrpcFrameParser;

void fk_grpc_frame_parser_init(FkGrpcFrameParser *f, gsize max);
void fk_grpc_frame_parser_clear(FkGrpcFrameParser *f);
/* Takes bytes up to the end of one message at most, and says how many in `used`. `message` is set, valid
 * until the next call, when one is complete. Anything but FK_GRPC_OK ends the call: the message is too long
 * (RESOURCE_EXHAUSTED, known from its prefix, before it comes) or compressed, which nobody was offered
 * (UNIMPLEMENTED). */
FkGrpcStatus fk_grpc_frame_parser_feed(FkGrpcFrameParser *f, const guint8 *data, gsize len, gsize *used,
                                       const guint8 **message, gsize *message_len);
/* Nothing of a further message has come. */
gboolean fk_grpc_frame_parser_is_empty(const FkGrpcFrameParser *f);
void fk_grpc_frame_prefix(guint8 out[5], gsize len);
