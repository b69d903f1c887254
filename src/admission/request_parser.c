#include "admission/request_parser.h"

#include <string.h>

#define HEAD_FIELDS_MAX 100 /* names and values in a head */
#define PATH_MAX_LEN 2048
#define CHUNK_OVERHEAD_REASON "the chunks are out of all proportion to the body"

static int fail(FkRequestParser *r, guint status, const char *why) {
  if (!r->status) {
    r->status = status;
    r->reason = why;
  }
  return 1; /* stops the parser */
}

static FkRequestParser *parser_of(http_parser *p) { return p->data; }

static int on_url(http_parser *p, const char *at, size_t len) {
  FkRequestParser *r = parser_of(p);
  if (r->path_len < FK_REQUEST_PATH_BYTES - 1)
    memcpy(r->path + r->path_len, at, MIN(len, FK_REQUEST_PATH_BYTES - 1 - r->path_len));
  r->path_len += len;
  r->path[MIN(r->path_len, FK_REQUEST_PATH_BYTES - 1)] = 0;
  return r->path_len > PATH_MAX_LEN ? fail(r, 414, "the path is over 2 KiB") : 0;
}

static int on_field(http_parser *p, const char *at, size_t len) {
  FkRequestParser *r = parser_of(p);
  if (r->in_value || r->field_count == 0) {
    r->in_value = FALSE;
    r->field_name_len = 0;
    if (++r->field_count > HEAD_FIELDS_MAX)
      return fail(r, 431, "the head has over 100 fields");
  }
  for (size_t i = 0; i < len; i++, r->field_name_len++)
    if (r->field_name_len < sizeof r->field_name)
      r->field_name[r->field_name_len] = g_ascii_tolower(at[i]);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t len) {
  FkRequestParser *r = parser_of(p);
  r->in_value = TRUE;
  if (r->field_name_len == 6 && memcmp(r->field_name, "expect", 6) == 0)
    r->expects_continue = TRUE;
  return 0;
}

static int on_head(http_parser *p) {
  FkRequestParser *r = parser_of(p);
  r->stage = FK_PARSER_STAGE_BODY;
  if (!(p->flags & F_CHUNKED) && p->content_length != G_MAXUINT64) /* the parser counts it down later */
    r->content_length = p->content_length;
  if (p->upgrade)
    return fail(r, 400, "this door speaks HTTP/1.1 only");
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t len) {
  parser_of(p)->body_bytes += len;
  return 0;
}

static int on_end(http_parser *p) {
  parser_of(p)->stage = FK_PARSER_STAGE_COMPLETE;
  http_parser_pause(p, 1); /* what follows is the next request's */
  return 0;
}

static const http_parser_settings callbacks = {.on_url = on_url,
                                               .on_header_field = on_field,
                                               .on_header_value = on_value,
                                               .on_headers_complete = on_head,
                                               .on_body = on_body,
                                               .on_message_complete = on_end};

void fk_request_parser_init(FkRequestParser *r) {
  *r = (FkRequestParser){0};
  http_parser_init(&r->parser, HTTP_REQUEST);
}

static void check_limits(FkRequestParser *r, const FkAdmissionLimits *l) {
  if (r->stage == FK_PARSER_STAGE_HEAD && r->wire_bytes > l->head_bytes)
    fail(r, 431, "the head is over 16 KiB");
  else if (r->content_length > l->body_bytes ||
           r->body_bytes > l->body_bytes) /* either is too long at once */
    fail(r, 413, "the body is over 64 KiB");
  else if (r->wire_bytes > l->wire_bytes)
    fail(r, 413, CHUNK_OVERHEAD_REASON);
}

static gsize execute(FkRequestParser *r, const FkAdmissionLimits *l, const char *data, gsize len) {
  if (r->stage == FK_PARSER_STAGE_START)
    r->stage = FK_PARSER_STAGE_HEAD;
  gsize used = http_parser_execute(&r->parser, &callbacks, data, len);
  r->wire_bytes += used;
  enum http_errno e = HTTP_PARSER_ERRNO(&r->parser);
  if (e == HPE_HEADER_OVERFLOW) /* in a body: a chunk's size line, or what follows the last chunk */
    r->stage == FK_PARSER_STAGE_BODY ? fail(r, 413, CHUNK_OVERHEAD_REASON)
                                     : fail(r, 431, "the head is over 16 KiB");
  else if (e != HPE_OK && e != HPE_PAUSED)
    fail(r, 400, "not an HTTP request");
  check_limits(r, l);
  if (r->status)
    r->stage = FK_PARSER_STAGE_FAILED;
  return used;
}

gsize fk_request_parser_feed(FkRequestParser *r, const FkAdmissionLimits *l, const char *data, gsize len) {
  gsize used = 0;
  r->parser.data = r; /* whoever keeps a reader may have moved it */
  /* a head is cut where it is too long, else how it comes would decide whether it is */
  while (used < len && r->stage < FK_PARSER_STAGE_BODY) {
    gsize room = l->head_bytes + 1 - r->wire_bytes;
    used += execute(r, l, data + used, MIN(room, len - used));
  }
  if (used < len && r->stage == FK_PARSER_STAGE_BODY)
    used += execute(r, l, data + used, len - used);
  return used;
}

const char *fk_request_parser_method(const FkRequestParser *r) { return http_method_str(r->parser.method); }
