/* Tests the failure detector: each case is a list of steps, with the expected freshness of each received
 * message and the expected verdicts at the end. */
#include <string.h>

#include "core/workers/failure_detector.h"

#define LEASE_S 42.0

typedef enum {
  STEP_END,          /* terminates a case's steps */
  STEP_HEARTBEAT,    /* a heartbeat is received; its freshness is checked */
  STEP_PROBE_REPLY,  /* the reply to a probe is received; its freshness is checked */
  STEP_PROBE_SENT,   /* a probe is sent to the worker */
  STEP_PROBE_MISSED, /* the probe gets no reply in time */
  STEP_REPLY_SENT,   /* the controller replies to the newest heartbeat */
  STEP_TOKEN_ECHOED, /* the newest message echoes the controller's fencing token */
  STEP_EFFECT_SEEN,  /* the newest message shows an effect of a command */
  STEP_WAIT          /* time passes */
} StepKind;

typedef struct {
  StepKind kind;
  /* Incarnation and sequence number of a heartbeat or probe reply. For STEP_WAIT, `incarnation` holds the
   * seconds to wait. */
  guint64 incarnation, sequence;
  FkHeartbeatFreshness freshness; /* expected freshness of a heartbeat or probe reply */
} Step;

#define HEARTBEAT(incarnation, sequence, freshness)                                                          \
  { STEP_HEARTBEAT, incarnation, sequence, FK_HEARTBEAT_##freshness }
#define PROBE_REPLY(incarnation, sequence, freshness)                                                        \
  { STEP_PROBE_REPLY, incarnation, sequence, FK_HEARTBEAT_##freshness }
#define PROBE_SENT                                                                                           \
  { STEP_PROBE_SENT, 0, 0, 0 }
#define PROBE_MISSED                                                                                         \
  { STEP_PROBE_MISSED, 0, 0, 0 }
#define REPLY_SENT                                                                                           \
  { STEP_REPLY_SENT, 0, 0, 0 }
#define TOKEN_ECHOED                                                                                         \
  { STEP_TOKEN_ECHOED, 0, 0, 0 }
#define EFFECT_SEEN                                                                                          \
  { STEP_EFFECT_SEEN, 0, 0, 0 }
#define WAIT(seconds)                                                                                        \
  { STEP_WAIT, seconds, 0, 0 }

static const struct {
  const char *name;
  Step steps[16];
  gboolean suspected, partitioned;
} cases[] = {
    {"heartbeats in order, with a gap",
     {HEARTBEAT(1, 1, NEW), REPLY_SENT, HEARTBEAT(1, 2, NEW), REPLY_SENT, HEARTBEAT(1, 4, NEW)},
     FALSE,
     FALSE},
    {"duplicates of received heartbeats, of any age",
     {HEARTBEAT(1, 1, NEW), HEARTBEAT(1, 5, NEW), HEARTBEAT(1, 5, DUPLICATE), HEARTBEAT(1, 1, DUPLICATE)},
     FALSE,
     FALSE},
    {"duplicates from earlier incarnations",
     {HEARTBEAT(3, 9, NEW), HEARTBEAT(2, 50, DUPLICATE), HEARTBEAT(1, 99, DUPLICATE)},
     FALSE,
     FALSE},
    {"a heartbeat overtaken by a probe's reply",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, PROBE_REPLY(1, 3, NEW), HEARTBEAT(1, 2, STALE),
      HEARTBEAT(1, 2, DUPLICATE)},
     FALSE,
     FALSE},
    {"a probe's reply overtaken by a heartbeat",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, HEARTBEAT(1, 3, NEW), PROBE_REPLY(1, 2, STALE)},
     FALSE,
     FALSE},
    {"restart, which only a probe's reply proves",
     {HEARTBEAT(1, 40, NEW), HEARTBEAT(1, 1, DUPLICATE), PROBE_SENT, PROBE_REPLY(1, 2, RESTARTED),
      HEARTBEAT(1, 3, NEW)},
     FALSE,
     FALSE},
    {"restart when the third incarnation was known",
     {HEARTBEAT(3, 400, NEW), PROBE_SENT, PROBE_REPLY(1, 1, RESTARTED), HEARTBEAT(1, 2, NEW), PROBE_SENT,
      PROBE_REPLY(1, 3, NEW)},
     FALSE,
     FALSE},
    {"two restarts in a row",
     {HEARTBEAT(1, 40, NEW), PROBE_SENT, PROBE_REPLY(1, 2, RESTARTED), PROBE_SENT,
      PROBE_REPLY(1, 1, RESTARTED)},
     FALSE,
     FALSE},
    {"the first message is never a restart", {PROBE_SENT, PROBE_REPLY(1, 1, NEW)}, FALSE, FALSE},
    {"one missed probe",
     {HEARTBEAT(1, 1, NEW), TOKEN_ECHOED, REPLY_SENT, PROBE_SENT, PROBE_MISSED, HEARTBEAT(1, 2, NEW),
      REPLY_SENT},
     TRUE,
     FALSE},
    {"one missed probe, and a reply to the next",
     {HEARTBEAT(1, 1, NEW), TOKEN_ECHOED, PROBE_SENT, PROBE_MISSED, PROBE_SENT, PROBE_REPLY(1, 2, NEW)},
     FALSE,
     FALSE},
    {"missed probes, and no heartbeat replied to since",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, PROBE_MISSED, WAIT(2), PROBE_SENT, PROBE_MISSED, WAIT(5)},
     TRUE,
     FALSE},
    {"missed probes, and replies without an effect",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, PROBE_MISSED, HEARTBEAT(1, 2, NEW), REPLY_SENT, WAIT(2), PROBE_SENT,
      PROBE_MISSED, HEARTBEAT(1, 3, NEW), REPLY_SENT, WAIT(2)},
     TRUE,
     TRUE},
    {"missed probes and replies without an effect, for too short a time",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, PROBE_MISSED, HEARTBEAT(1, 2, NEW), REPLY_SENT, WAIT(1), PROBE_SENT,
      PROBE_MISSED, HEARTBEAT(1, 3, NEW), REPLY_SENT, WAIT(1)},
     TRUE,
     FALSE},
    {"missed probes, but the effect of a command is seen",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, PROBE_MISSED, HEARTBEAT(1, 2, NEW), REPLY_SENT, PROBE_SENT,
      PROBE_MISSED, HEARTBEAT(1, 3, NEW), EFFECT_SEEN, REPLY_SENT, WAIT(9)},
     FALSE,
     FALSE},
    {"missed probes, but the token is shown",
     {HEARTBEAT(1, 1, NEW), PROBE_SENT, PROBE_MISSED, HEARTBEAT(1, 2, NEW), REPLY_SENT, PROBE_SENT,
      PROBE_MISSED, HEARTBEAT(1, 3, NEW), TOKEN_ECHOED, REPLY_SENT, WAIT(9)},
     FALSE,
     FALSE},
    {"the lease expired although the controller had replied in time",
     {HEARTBEAT(1, 1, NEW), TOKEN_ECHOED, REPLY_SENT, WAIT(10), HEARTBEAT(1, 2, NEW), REPLY_SENT, WAIT(20),
      HEARTBEAT(2, 3, NEW)},
     TRUE,
     TRUE},
    {"the lease expired, and the controller had never replied",
     {HEARTBEAT(2, 1, NEW), TOKEN_ECHOED, WAIT(30), HEARTBEAT(3, 2, NEW)},
     FALSE,
     FALSE},
    {"the lease expired long after the last reply",
     {HEARTBEAT(1, 1, NEW), TOKEN_ECHOED, REPLY_SENT, WAIT(41), HEARTBEAT(2, 3, NEW)},
     FALSE,
     FALSE},
    {"the lease expired, then the worker replies to a probe",
     {HEARTBEAT(1, 1, NEW), TOKEN_ECHOED, REPLY_SENT, WAIT(20), HEARTBEAT(2, 3, NEW), PROBE_SENT,
      PROBE_REPLY(2, 4, NEW)},
     FALSE,
     FALSE},
};

static void test_verdicts(void) {
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkFailureDetector detector = {0};
    FkTime now = {1000000};
    fk_failure_detector_acquired(&detector, now);
    g_test_message("%s", cases[i].name);
    for (const Step *step = cases[i].steps; step->kind != STEP_END; step++) {
      FkHeartbeatSequence sequence = {step->incarnation, step->sequence};
      if (step->kind == STEP_HEARTBEAT)
        g_assert_cmpint(fk_failure_detector_heartbeat(&detector, sequence, LEASE_S, now), ==,
                        step->freshness);
      else if (step->kind == STEP_PROBE_REPLY)
        g_assert_cmpint(fk_failure_detector_probe_answered(&detector, sequence, LEASE_S, now), ==,
                        step->freshness);
      else if (step->kind == STEP_PROBE_SENT)
        fk_failure_detector_probe_sent(&detector);
      else if (step->kind == STEP_PROBE_MISSED)
        fk_failure_detector_probe_missed(&detector, now);
      else if (step->kind == STEP_REPLY_SENT)
        fk_failure_detector_reply_sent(&detector, now);
      else if (step->kind == STEP_TOKEN_ECHOED)
        fk_failure_detector_token_echoed(&detector, (FkRev){7}, now);
      else if (step->kind == STEP_EFFECT_SEEN)
        fk_failure_detector_effect_seen(&detector);
      else
        now = fk_time_add(now, (double)step->incarnation);
    }
    g_assert_cmpint(fk_failure_detector_is_suspected(&detector), ==, cases[i].suspected);
    g_assert_cmpint(fk_failure_detector_is_partitioned(&detector, now), ==, cases[i].partitioned);
  }
}

/* A heartbeat alone may be a duplicate, so it neither ends a worker's silence nor postpones the expiry of the
 * worker's lease. An echoed fencing token does both. A reply by the controller postpones the expiry. */
static void test_silence(void) {
  FkFailureDetector detector = {0};
  FkTime now = {1000000}, started_at = now;
  fk_failure_detector_acquired(&detector, now);
  for (guint64 sequence = 1; sequence <= 50; sequence++) {
    now = fk_time_add(now, 1);
    fk_failure_detector_heartbeat(&detector, (FkHeartbeatSequence){1, sequence}, LEASE_S, now);
  }
  g_assert_cmpint(fk_failure_detector_silent_since(&detector).us, ==, started_at.us);
  g_assert_cmpint(fk_failure_detector_lease_start(&detector, 20).us, ==, fk_time_add(started_at, 20).us);
  g_assert_true(fk_failure_detector_token_echoed(&detector, (FkRev){7}, now));
  g_assert_false(fk_failure_detector_token_echoed(&detector, (FkRev){7}, now));
  g_assert_cmpint(fk_failure_detector_silent_since(&detector).us, ==, now.us);
  g_assert_cmpint(fk_failure_detector_lease_start(&detector, 20).us, ==, now.us);
  FkTime replied_at = fk_time_add(now, 5);
  fk_failure_detector_reply_sent(&detector, replied_at);
  g_assert_cmpint(fk_failure_detector_lease_start(&detector, 20).us, ==, replied_at.us);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/failure_detector/verdicts", test_verdicts);
  g_test_add_func("/failure_detector/silence", test_silence);
  return g_test_run();
}
