#include "admission/request_parser.h"

#include <string.h>

#define EXPECT "expect" /* the only header field that this module interprets */
#define HEAD_FIELDS_MAX 100
#define PATH_BYTES_MAX 2048
#define CHUNK_OVERHEAD_REASON "the chunks are out of all proportion to the body"

/* Records a failure, unless there was one before. Returns a value that makes http-parser stop. */
static int fail(FkRequestParser *parser, guint status, const char *reason) {
  if (!parser->status) {
    parser->status = status;
    parser->reason = reason;
  }
  return 1;
}

static FkRequestParser *parser_of(http_parser *http) { return http->data; }

static int on_url(http_parser *http, const char *at, size_t len) {
  FkRequestParser *parser = parser_of(http);
  if (parser->path_len < FK_REQUEST_PATH_BYTES - 1)
    memcpy(parser->path + parser->path_len, at, MIN(len, FK_REQUEST_PATH_BYTES - 1 - parser->path_len));
  parser->path_len += len;
  parser->path[MIN(parser->path_len, FK_REQUEST_PATH_BYTES - 1)] = 0;
  return parser->path_len > PATH_BYTES_MAX ? fail(parser, 414, "the path is over 2 KiB") : 0;
}

static int on_field(http_parser *http, const char *at, size_t len) {
  FkRequestParser *parser = parser_of(http);
  if (parser->in_value || parser->field_count == 0) {
    parser->in_value = FALSE;
    parser->field_name_len = 0;
    if (++parser->field_count > HEAD_FIELDS_MAX)
      return fail(parser, 431, "the head has over 100 fields");
  }
  for (size_t i = 0; i < len; i++, parser->field_name_len++)
    if (parser->field_name_len < sizeof parser->field_name)
      parser->field_name[parser->field_name_len] = g_ascii_tolower(at[i]);
  return 0;
}

static int on_value(http_parser *http, const char *at, size_t len) {
  FkRequestParser *parser = parser_of(http);
  parser->in_value = TRUE;
  if (parser->field_name_len == strlen(EXPECT) && memcmp(parser->field_name, EXPECT, strlen(EXPECT)) == 0)
    parser->expects_continue = TRUE;
  return 0;
}

static int on_head(http_parser *http) {
  FkRequestParser *parser = parser_of(http);
  parser->stage = FK_PARSER_STAGE_BODY;
  /* saved, because http-parser decrements its own count while it reads the body */
  if (!(http->flags & F_CHUNKED) && http->content_length != G_MAXUINT64)
    parser->content_length = http->content_length;
  if (http->upgrade)
    return fail(parser, 400, "this door speaks HTTP/1.1 only");
  return 0;
}

static int on_body(http_parser *http, const char *at, size_t len) {
  parser_of(http)->body_bytes += len;
  return 0;
}

static int on_end(http_parser *http) {
  parser_of(http)->stage = FK_PARSER_STAGE_COMPLETE;
  http_parser_pause(http, 1); /* later bytes belong to the next request */
  return 0;
}

static const http_parser_settings callbacks = {.on_url = on_url,
                                               .on_header_field = on_field,
                                               .on_header_value = on_value,
                                               .on_headers_complete = on_head,
                                               .on_body = on_body,
                                               .on_message_complete = on_end};

void fk_request_parser_init(FkRequestParser *parser) {
  *parser = (FkRequestParser){0};
  http_parser_init(&parser->parser, HTTP_REQUEST);
}

static void check_limits(FkRequestParser *parser, const FkAdmissionLimits *limits) {
  if (parser->stage == FK_PARSER_STAGE_HEAD && parser->wire_bytes > limits->head_bytes)
    fail(parser, 431, "the head is over 16 KiB");
  else if (parser->content_length > limits->body_bytes || parser->body_bytes > limits->body_bytes)
    fail(parser, 413, "the body is over 64 KiB");
  else if (parser->wire_bytes > limits->wire_bytes)
    fail(parser, 413, CHUNK_OVERHEAD_REASON);
}

static gsize execute(FkRequestParser *parser, const FkAdmissionLimits *limits, const char *data, gsize len) {
  if (parser->stage == FK_PARSER_STAGE_START)
    parser->stage = FK_PARSER_STAGE_HEAD;
  gsize used = http_parser_execute(&parser->parser, &callbacks, data, len);
  parser->wire_bytes += used;
  enum http_errno error = HTTP_PARSER_ERRNO(&parser->parser);
  if (error == HPE_HEADER_OVERFLOW) /* in a body: a chunk's size line or the trailers are too long */
    parser->stage == FK_PARSER_STAGE_BODY ? fail(parser, 413, CHUNK_OVERHEAD_REASON)
                                          : fail(parser, 431, "the head is over 16 KiB");
  else if (error != HPE_OK && error != HPE_PAUSED)
    fail(parser, 400, "not an HTTP request");
  check_limits(parser, limits);
  if (parser->status)
    parser->stage = FK_PARSER_STAGE_FAILED;
  return used;
}

gsize fk_request_parser_feed(FkRequestParser *parser, const FkAdmissionLimits *limits, const char *data,
                             gsize len) {
  gsize used = 0;
  parser->parser.data = parser; /* the owner may have moved the structure since the last call */
  /* A head is fed only up to one byte over its limit. Otherwise, whether it is too long would depend on how
   * its bytes are split. */
  while (used < len && parser->stage < FK_PARSER_STAGE_BODY) {
    gsize allowed = limits->head_bytes + 1 - parser->wire_bytes;
    used += execute(parser, limits, data + used, MIN(allowed, len - used));
  }
  if (used < len && parser->stage == FK_PARSER_STAGE_BODY)
    used += execute(parser, limits, data + used, len - used);
  return used;
}

const char *fk_request_parser_method(const FkRequestParser *parser) {
  return http_method_str(parser->parser.method);
}
