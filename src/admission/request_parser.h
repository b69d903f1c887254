/* Finds where the head and the body of an HTTP/1 request end as its bytes come, and whether it stays within
 * the limits. What the request says is left to its handler. The framing is http-parser's, which is strict
 * (RFC 9112, 6 and 7): it refuses a length beside chunks, two lengths, and bare control characters. */
#pragma once
#include <http_parser.h>

#include "admission/limits.h"

#define FK_REQUEST_PATH_BYTES 96 /* of a path that are kept: enough to tell a request's class */

typedef enum {
  FK_PARSER_STAGE_START, /* no byte has come */
  FK_PARSER_STAGE_HEAD,
  FK_PARSER_STAGE_BODY,
  FK_PARSER_STAGE_COMPLETE,
  FK_PARSER_STAGE_FAILED /* malformed or too long */
} FkParserStage;

typedef struct {
  http_parser parser;
  FkParserStage stage;
  gsize wire_bytes, body_bytes;     /* parsed so far */
  guint64 content_length;           /* as declared; 0: it wasn't */
  gsize path_len;                   /* of the whole path */
  char path[FK_REQUEST_PATH_BYTES]; /* zero-terminated; cut short when it is longer */
  gsize field_count;                /* of the head */
  char field_name[8];               /* the start of the present one's name, in lower case */
  guint field_name_len;             /* the whole name's */
  gboolean in_value;                /* of the present field */
  gboolean expects_continue;        /* "Expect: 100-continue" */
  guint status;                     /* FAILED: of the response */
  const char *reason;               /* FAILED: static */
} FkRequestParser;

void fk_request_parser_init(FkRequestParser *parser);
/* Parses bytes up to the end of the request at most, and returns how many. A request over the limits fails.
 */
gsize fk_request_parser_feed(FkRequestParser *parser, const FkAdmissionLimits *limits, const char *data,
                             gsize len);
/* Static. */
const char *fk_request_parser_method(const FkRequestParser *parser);
