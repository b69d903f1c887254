/* The request parser: within its limits whatever comes, and however the bytes are cut it parses the same. */
#include "fuzz.h"

#include "admission/request_parser.h"
#include "wire/route.h"

static FkRequestParser read_all(const FkAdmissionLimits *l, const char *data, gsize len, gsize piece,
                                gsize *used) {
  FkRequestParser r;
  fk_request_parser_init(&r);
  for (*used = 0; *used < len && r.stage < FK_PARSER_STAGE_COMPLETE;) {
    gsize n = fk_request_parser_feed(&r, l, data + *used, MIN(piece, len - *used));
    if (!n)
      break;
    *used += n;
    FK_HOLDS(r.wire_bytes <= l->wire_bytes + piece && r.body_bytes <= l->body_bytes + piece);
    FK_HOLDS(r.path[FK_REQUEST_PATH_BYTES - 1] == 0);
  }
  return r;
}

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  if (size < 2)
    return 0;
  const FkAdmissionLimits l = {
      .head_bytes = 512, .body_bytes = 256, .wire_bytes = 1024}; /* small: within reach of a short input */
  const char *text = (const char *)data + 1;
  gsize len = size - 1, used_whole, used_cut;
  FkRequestParser whole = read_all(&l, text, len, len, &used_whole);
  FkRequestParser cut = read_all(&l, text, len, 1 + data[0] % 64, &used_cut);
  FK_HOLDS((whole.stage == FK_PARSER_STAGE_FAILED) == (whole.status != 0));
  FK_HOLDS(whole.stage != FK_PARSER_STAGE_FAILED ||
           (whole.reason && whole.status >= 400 && whole.status < 500));
  /* a request that is too long may be found out at another of its faults when it comes in one piece */
  FK_HOLDS((whole.stage == FK_PARSER_STAGE_FAILED) == (cut.stage == FK_PARSER_STAGE_FAILED));
  if (whole.stage == FK_PARSER_STAGE_COMPLETE)
    FK_HOLDS(cut.stage == FK_PARSER_STAGE_COMPLETE && used_cut == used_whole &&
             cut.body_bytes == whole.body_bytes && strcmp(cut.path, whole.path) == 0);
  if (whole.stage >= FK_PARSER_STAGE_BODY && whole.stage != FK_PARSER_STAGE_FAILED) {
    const char *job = NULL;
    gsize job_len = 0;
    FkRoute route = fk_route_match(fk_request_parser_method(&whole), whole.path, &job, &job_len);
    FK_HOLDS(fk_route_request_class(route) < FK_REQUEST_CLASSES);
    FK_HOLDS(!job || (job >= whole.path && job + job_len <= whole.path + strlen(whole.path)));
  }
  return 0;
}
