#include "admission/request_parser.h"

#include <string.h>

#define FIELDS_MAX 100 /* names and values in a head */
#define PATH_MAX_LEN 2048
#define OUT_OF_PROPORTION "the chunks are out of all proportion to the body"

static int bad(FkReader *r, guint status, const char *why) {
  if (!r->status) {
    r->status = status;
    r->why = why;
  }
  return 1; /* stops the parser */
}

static FkReader *of(http_parser *p) { return p->data; }

static int on_url(http_parser *p, const char *at, size_t len) {
  FkReader *r = of(p);
  if (r->path_len < FK_PATH_KEPT - 1)
    memcpy(r->path + r->path_len, at, MIN(len, FK_PATH_KEPT - 1 - r->path_len));
  r->path_len += len;
  r->path[MIN(r->path_len, FK_PATH_KEPT - 1)] = 0;
  return r->path_len > PATH_MAX_LEN ? bad(r, 414, "the path is over 2 KiB") : 0;
}

static int on_field(http_parser *p, const char *at, size_t len) {
  FkReader *r = of(p);
  if (r->in_value || r->fields == 0) {
    r->in_value = FALSE;
    r->field_len = 0;
    if (++r->fields > FIELDS_MAX)
      return bad(r, 431, "the head has over 100 fields");
  }
  for (size_t i = 0; i < len; i++, r->field_len++)
    if (r->field_len < sizeof r->field)
      r->field[r->field_len] = g_ascii_tolower(at[i]);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t len) {
  FkReader *r = of(p);
  r->in_value = TRUE;
  if (r->field_len == 6 && memcmp(r->field, "expect", 6) == 0)
    r->expects = TRUE;
  return 0;
}

static int on_head(http_parser *p) {
  FkReader *r = of(p);
  r->stage = FK_READ_BODY;
  if (!(p->flags & F_CHUNKED) && p->content_length != G_MAXUINT64) /* the parser counts it down later */
    r->declared = p->content_length;
  if (p->upgrade)
    return bad(r, 400, "this door speaks HTTP/1.1 only");
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t len) {
  of(p)->body += len;
  return 0;
}

static int on_end(http_parser *p) {
  of(p)->stage = FK_READ_ALL;
  http_parser_pause(p, 1); /* what follows is the next request's */
  return 0;
}

static const http_parser_settings callbacks = {.on_url = on_url,
                                               .on_header_field = on_field,
                                               .on_header_value = on_value,
                                               .on_headers_complete = on_head,
                                               .on_body = on_body,
                                               .on_message_complete = on_end};

void fk_reader_init(FkReader *r) {
  *r = (FkReader){0};
  http_parser_init(&r->parser, HTTP_REQUEST);
}

static void check(FkReader *r, const FkDoorLimits *l) {
  if (r->stage == FK_READ_HEAD && r->raw > l->head)
    bad(r, 431, "the head is over 16 KiB");
  else if (r->declared > l->body || r->body > l->body) /* either is too long at once */
    bad(r, 413, "the body is over 64 KiB");
  else if (r->raw > l->raw)
    bad(r, 413, OUT_OF_PROPORTION);
}

static gsize feed(FkReader *r, const FkDoorLimits *l, const char *data, gsize len) {
  if (r->stage == FK_READ_NOTHING)
    r->stage = FK_READ_HEAD;
  gsize used = http_parser_execute(&r->parser, &callbacks, data, len);
  r->raw += used;
  enum http_errno e = HTTP_PARSER_ERRNO(&r->parser);
  if (e == HPE_HEADER_OVERFLOW) /* in a body: a chunk's size line, or what follows the last chunk */
    r->stage == FK_READ_BODY ? bad(r, 413, OUT_OF_PROPORTION) : bad(r, 431, "the head is over 16 KiB");
  else if (e != HPE_OK && e != HPE_PAUSED)
    bad(r, 400, "not an HTTP request");
  check(r, l);
  if (r->status)
    r->stage = FK_READ_BAD;
  return used;
}

gsize fk_reader_feed(FkReader *r, const FkDoorLimits *l, const char *data, gsize len) {
  gsize used = 0;
  r->parser.data = r; /* whoever keeps a reader may have moved it */
  /* a head is cut where it is too long, else how it comes would decide whether it is */
  while (used < len && r->stage < FK_READ_BODY) {
    gsize room = l->head + 1 - r->raw;
    used += feed(r, l, data + used, MIN(room, len - used));
  }
  if (used < len && r->stage == FK_READ_BODY)
    used += feed(r, l, data + used, len - used);
  return used;
}

const char *fk_reader_method(const FkReader *r) { return http_method_str(r->parser.method); }
