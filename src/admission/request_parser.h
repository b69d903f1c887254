/* Reads one request as its bytes come: where its head and its body end, whether it stays within the door's
 * bounds. What the bytes say is left to whoever serves them. Framing is http-parser's (strict: RFC 9112, 6
 * and 7; a length beside chunks, two lengths, bare control characters are refused). */
#pragma once
#include <http_parser.h>

#include "admission/limits.h"

#define FK_REQUEST_PATH_BYTES 96 /* enough of a path to tell what is asked */

typedef enum {
  FK_PARSER_STAGE_START,
  FK_PARSER_STAGE_HEAD,
  FK_PARSER_STAGE_BODY,
  FK_PARSER_STAGE_COMPLETE,
  FK_PARSER_STAGE_FAILED
} FkParserStage;

typedef struct {
  http_parser parser;
  FkParserStage stage;
  gsize wire_bytes, body_bytes, path_len, field_count;
  guint64 content_length;           /* length of the body; 0: none was declared */
  char path[FK_REQUEST_PATH_BYTES]; /* ended by 0; cut short when path_len is larger */
  char field_name[8];               /* the name of the field that is being read */
  guint field_name_len;
  gboolean in_value, expects_continue; /* ... `100-continue` */
  guint status;                        /* when bad: the answer ... */
  const char *reason;                  /* ... and its reason, static */
} FkRequestParser;

void fk_request_parser_init(FkRequestParser *r);
/* Takes bytes up to the end of the request at most; returns how many. Reading over the bounds makes it bad.
 */
gsize fk_request_parser_feed(FkRequestParser *r, const FkAdmissionLimits *limits, const char *data,
                             gsize len);
const char *fk_request_parser_method(const FkRequestParser *r);
