/* Admission control: any order of calls that a server can make keeps its counts and its limits. Two bytes a
 * step: which connection, what it does. */
#include "fuzz.h"

#include "admission/admission.h"

#define SLOTS 24

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  const FkAdmissionLimits l = {.connections = {6, 3, 2, 2},
                               .lingering = 2,
                               .requests = 8,
                               .buffered_bytes = 4000,
                               .first_byte_us = 40,
                               .head_us = 30,
                               .body_us = 30,
                               .idle_us = 100,
                               .send_us = 30,
                               .linger_us = 10};
  FkAdmission *g = fk_admission_new(&l);
  FkConnectionSlot slots[SLOTS] = {{0}};
  gint64 t = 0;
  for (gsize i = 0; i + 1 < size; i += 2) {
    FkConnectionSlot *s = &slots[data[i] % SLOTS], *out;
    guint what = data[i + 1], arg = what >> 3;
    FkRejection v = {0};
    t += data[i] / SLOTS;
    switch (s->stage) {
    case FK_STAGE_UNTRACKED: {
      char from[2] = {(char)('a' + arg % 4), 0};
      fk_admission_connection_opened(g, s, from,
                                     what & 1 ? FK_CONNECTION_CLASS_PEER : FK_CONNECTION_CLASS_CLIENT, t);
      break;
    }
    case FK_STAGE_CONNECTED:
    case FK_STAGE_IDLE:
      fk_admission_begin_stage(g, s, FK_STAGE_HEAD, t);
      break;
    case FK_STAGE_HEAD:
      if (what & 1) {
        FK_HOLDS(fk_admission_set_buffered(g, s, 100 * arg, &v) || v.status == 503);
      } else {
        FkRequestClass ask = s->connection_class == FK_CONNECTION_CLASS_PEER ? FK_REQUEST_CLASS_PEER
                                                                             : arg % FK_REQUEST_CLASSES;
        if (fk_admission_admit_request(g, s, ask, t, &v))
          fk_admission_begin_stage(g, s, FK_STAGE_BODY, t);
        else
          FK_HOLDS(v.status == 503 && v.retry_after_s > 0 && ask != FK_REQUEST_CLASS_HEALTH);
      }
      break;
    case FK_STAGE_BODY:
      if (what & 1)
        fk_admission_request_complete(g, s, t);
      else if (!fk_admission_set_buffered(g, s, 100 * arg, &v))
        fk_admission_reject(g, s, FK_REJECTION_MEMORY, t);
      break;
    case FK_STAGE_HANDLING:
    case FK_STAGE_SENDING:
      fk_admission_response_written(g, s, what & 1, t);
      break;
    default:
      break;
    }
    if ((what & 7) == 7)
      fk_admission_connection_closed(g, s);
    for (guint n = 0; (out = fk_admission_next_eviction(g, t, &v)); n++)
      FK_HOLDS(n <= 2 * SLOTS && (out->stage == FK_STAGE_UNTRACKED || out->stage == FK_STAGE_LINGERING));
    FK_HOLDS(fk_admission_next_deadline_us(g) > t);
    fk_admission_verify(g);
  }
  for (guint i = 0; i < SLOTS; i++)
    fk_admission_connection_closed(g, &slots[i]);
  fk_admission_free(g);
  return 0;
}
