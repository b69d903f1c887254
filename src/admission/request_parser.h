/* Reads one request as its bytes come: where its head and its body end, whether it stays within the door's
 * bounds. What the bytes say is left to whoever serves them. Framing is http-parser's (strict: RFC 9112, 6
 * and 7; a length beside chunks, two lengths, bare control characters are refused). */
#pragma once
#include <http_parser.h>

#include "admission/limits.h"

#define FK_PATH_KEPT 96 /* enough of a path to tell what is asked */

typedef enum { FK_READ_NOTHING, FK_READ_HEAD, FK_READ_BODY, FK_READ_ALL, FK_READ_BAD } FkReadStage;

typedef struct {
  http_parser parser;
  FkReadStage stage;
  gsize raw, body, path_len, fields;
  guint64 declared;        /* length of the body; 0: none was declared */
  char path[FK_PATH_KEPT]; /* ended by 0; cut short when path_len is larger */
  char field[8];           /* the name of the field that is being read */
  guint field_len;
  gboolean in_value, expects; /* ... `100-continue` */
  guint status;               /* when bad: the answer ... */
  const char *why;            /* ... and its reason, static */
} FkReader;

void fk_reader_init(FkReader *r);
/* Takes bytes up to the end of the request at most; returns how many. Reading over the bounds makes it bad.
 */
gsize fk_reader_feed(FkReader *r, const FkDoorLimits *limits, const char *data, gsize len);
const char *fk_reader_method(const FkReader *r);
