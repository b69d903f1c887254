/* The gate: any order of calls that the door can make leaves its books right and its bounds kept. Two bytes a
 * step: which connection, what it does. */
#include "fuzz.h"

#include "admission/admission.h"

#define SLOTS 24

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  const FkDoorLimits l = {.guests = {6, 3, 2, 2},
                          .endings = 2,
                          .requests = 8,
                          .held = 4000,
                          .fresh_us = 40,
                          .head_us = 30,
                          .body_us = 30,
                          .idle_us = 100,
                          .send_us = 30,
                          .linger_us = 10};
  FkGate *g = fk_gate_new(&l);
  FkSlot slots[SLOTS] = {{0}};
  gint64 t = 0;
  for (gsize i = 0; i + 1 < size; i += 2) {
    FkSlot *s = &slots[data[i] % SLOTS], *out;
    guint what = data[i + 1], arg = what >> 3;
    FkVerdict v = {0};
    t += data[i] / SLOTS;
    switch (s->stage) {
    case FK_STAGE_OUT: {
      char from[2] = {(char)('a' + arg % 4), 0};
      fk_gate_enter(g, s, from, what & 1 ? FK_GUEST_PEER : FK_GUEST_OUTSIDER, t);
      break;
    }
    case FK_STAGE_FRESH:
    case FK_STAGE_IDLE:
      fk_gate_begins(g, s, FK_STAGE_HEAD, t);
      break;
    case FK_STAGE_HEAD:
      if (what & 1) {
        FK_HOLDS(fk_gate_holds(g, s, 100 * arg, &v) || v.status == 503);
      } else {
        FkAsk ask = s->guest == FK_GUEST_PEER ? FK_ASK_PEER : arg % FK_ASKS;
        if (fk_gate_asks(g, s, ask, t, &v))
          fk_gate_begins(g, s, FK_STAGE_BODY, t);
        else
          FK_HOLDS(v.status == 503 && v.retry_s > 0 && ask != FK_ASK_HEALTH);
      }
      break;
    case FK_STAGE_BODY:
      if (what & 1)
        fk_gate_served(g, s, t);
      else if (!fk_gate_holds(g, s, 100 * arg, &v))
        fk_gate_ends(g, s, FK_SHUT_MEMORY, t);
      break;
    case FK_STAGE_SERVED:
    case FK_STAGE_SEND:
      fk_gate_answered(g, s, what & 1, t);
      break;
    default:
      break;
    }
    if ((what & 7) == 7)
      fk_gate_leave(g, s);
    for (guint n = 0; (out = fk_gate_next(g, t, &v)); n++)
      FK_HOLDS(n <= 2 * SLOTS && (out->stage == FK_STAGE_OUT || out->stage == FK_STAGE_ENDING));
    FK_HOLDS(fk_gate_wakes(g) > t);
    fk_gate_check(g);
  }
  for (guint i = 0; i < SLOTS; i++)
    fk_gate_leave(g, &slots[i]);
  fk_gate_free(g);
  return 0;
}
