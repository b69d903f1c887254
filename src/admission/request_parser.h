/* Finds the end of the head and of the body of an HTTP/1 request while its bytes arrive, and checks the
 * request against the limits. The handler interprets the request. http-parser does the framing. It is strict
 * (RFC 9112, 6 and 7): it rejects a Content-Length with chunked encoding, two Content-Lengths, and bare
 * control characters. */
#pragma once
#include <http_parser.h>

#include "admission/limits.h"

#define FK_REQUEST_PATH_BYTES 96 /* stored part of a path: enough to find a request's class */

typedef enum {
  FK_PARSER_STAGE_START, /* no byte was parsed */
  FK_PARSER_STAGE_HEAD,
  FK_PARSER_STAGE_BODY,
  FK_PARSER_STAGE_COMPLETE,
  FK_PARSER_STAGE_FAILED /* malformed or too long */
} FkParserStage;

typedef struct {
  http_parser parser;
  FkParserStage stage;
  gsize wire_bytes, body_bytes;     /* parsed so far */
  guint64 content_length;           /* declared length of the body; 0 if not declared */
  gsize path_len;                   /* length of the whole path */
  char path[FK_REQUEST_PATH_BYTES]; /* zero-terminated, and truncated if longer */
  gsize field_count;                /* header fields so far */
  char field_name[8];        /* start of the current field's name, in lower case, not zero-terminated */
  guint field_name_len;      /* length of the whole name */
  gboolean in_value;         /* the parser is in the value of the current field */
  gboolean expects_continue; /* the request has an Expect field; any value is treated as "100-continue" */
  guint status;              /* HTTP status for a failed request; else 0 */
  const char *reason;        /* why the request failed, a static string; else NULL */
} FkRequestParser;

void fk_request_parser_init(FkRequestParser *parser);
/* Parses bytes up to the end of the request at most. Returns how many it has parsed. A request that is
 * malformed or over the limits ends in FK_PARSER_STAGE_FAILED. */
gsize fk_request_parser_feed(FkRequestParser *parser, const FkAdmissionLimits *limits, const char *data,
                             gsize len);
/* Returns the request's method, a static string. */
const char *fk_request_parser_method(const FkRequestParser *parser);
