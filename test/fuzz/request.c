/* The door's reader: within its bounds whatever comes, and however it is cut it reads the same. */
#include "fuzz.h"

#include "admission/request_parser.h"
#include "wire/route.h"

static FkReader read_all(const FkDoorLimits *l, const char *data, gsize len, gsize piece, gsize *used) {
  FkReader r;
  fk_reader_init(&r);
  for (*used = 0; *used < len && r.stage < FK_READ_ALL;) {
    gsize n = fk_reader_feed(&r, l, data + *used, MIN(piece, len - *used));
    if (!n)
      break;
    *used += n;
    FK_HOLDS(r.raw <= l->raw + piece && r.body <= l->body + piece);
    FK_HOLDS(r.path[FK_PATH_KEPT - 1] == 0);
  }
  return r;
}

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  if (size < 2)
    return 0;
  const FkDoorLimits l = {.head = 512, .body = 256, .raw = 1024}; /* small: within reach of a short input */
  const char *text = (const char *)data + 1;
  gsize len = size - 1, used_whole, used_cut;
  FkReader whole = read_all(&l, text, len, len, &used_whole);
  FkReader cut = read_all(&l, text, len, 1 + data[0] % 64, &used_cut);
  FK_HOLDS((whole.stage == FK_READ_BAD) == (whole.status != 0));
  FK_HOLDS(whole.stage != FK_READ_BAD || (whole.why && whole.status >= 400 && whole.status < 500));
  /* a request that is too long may be found out at another of its faults when it comes in one piece */
  FK_HOLDS((whole.stage == FK_READ_BAD) == (cut.stage == FK_READ_BAD));
  if (whole.stage == FK_READ_ALL)
    FK_HOLDS(cut.stage == FK_READ_ALL && used_cut == used_whole && cut.body == whole.body &&
             strcmp(cut.path, whole.path) == 0);
  if (whole.stage >= FK_READ_BODY && whole.stage != FK_READ_BAD) {
    const char *job = NULL;
    gsize job_len = 0;
    FkRoute route = fk_route(fk_reader_method(&whole), whole.path, &job, &job_len);
    FK_HOLDS(fk_route_ask(route) < FK_ASKS);
    FK_HOLDS(!job || (job >= whole.path && job + job_len <= whole.path + strlen(whole.path)));
  }
  return 0;
}
