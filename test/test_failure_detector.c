/* What is known of a machine, by tables of what it says and what it is asked. */
#include <string.h>

#include "core/workers/failure_detector.h"

#define LEASE_S 42.0

/* A step: `r` a report, `a` the answer to a question, both with session and seq and the freshness expected;
 * `q` a question, `n` no answer to it, `o` our answer to its report, `t` its report shows our token, `e` an
 * effect of ours, `w` some seconds go by. */
typedef struct {
  char what;
  guint64 session, seq;
  FkHeartbeatFreshness freshness;
} Step;

#define R(s, q, n)                                                                                           \
  { 'r', s, q, FK_HEARTBEAT_##n }
#define A(s, q, n)                                                                                           \
  { 'a', s, q, FK_HEARTBEAT_##n }
#define Q                                                                                                    \
  { 'q', 0, 0, 0 }
#define N                                                                                                    \
  { 'n', 0, 0, 0 }
#define O                                                                                                    \
  { 'o', 0, 0, 0 }
#define T                                                                                                    \
  { 't', 0, 0, 0 }
#define E                                                                                                    \
  { 'e', 0, 0, 0 }
#define W(s)                                                                                                 \
  { 'w', s, 0, 0 }

static const struct {
  const char *name;
  Step steps[16];
  gboolean doubtful, deaf;
} cases[] = {
    {"reports in turn", {R(1, 1, NEW), O, R(1, 2, NEW), O, R(1, 4, NEW)}, FALSE, FALSE},
    {"a copy of one that was told, of any age",
     {R(1, 1, NEW), R(1, 5, NEW), R(1, 5, DUPLICATE), R(1, 1, DUPLICATE)},
     FALSE,
     FALSE},
    {"a copy of an earlier session's",
     {R(3, 9, NEW), R(2, 50, DUPLICATE), R(1, 99, DUPLICATE)},
     FALSE,
     FALSE},
    {"a report that an answer has overtaken",
     {R(1, 1, NEW), Q, A(1, 3, NEW), R(1, 2, STALE), R(1, 2, DUPLICATE)},
     FALSE,
     FALSE},
    {"an answer that a report has overtaken", {R(1, 1, NEW), Q, R(1, 3, NEW), A(1, 2, STALE)}, FALSE, FALSE},
    {"it begins anew: only the answer tells",
     {R(1, 40, NEW), R(1, 1, DUPLICATE), Q, A(1, 2, RESTARTED), R(1, 3, NEW)},
     FALSE,
     FALSE},
    {"... in its third session",
     {R(3, 400, NEW), Q, A(1, 1, RESTARTED), R(1, 2, NEW), Q, A(1, 3, NEW)},
     FALSE,
     FALSE},
    {"... and at once once more",
     {R(1, 40, NEW), Q, A(1, 2, RESTARTED), Q, A(1, 1, RESTARTED)},
     FALSE,
     FALSE},
    {"nothing known is never anew", {Q, A(1, 1, NEW)}, FALSE, FALSE},
    {"one question lost", {R(1, 1, NEW), T, O, Q, N, R(1, 2, NEW), O}, TRUE, FALSE},
    {"... and the next is answered", {R(1, 1, NEW), T, Q, N, Q, A(1, 2, NEW)}, FALSE, FALSE},
    {"questions lost, but no report was answered since", {R(1, 1, NEW), Q, N, W(2), Q, N, W(5)}, TRUE, FALSE},
    {"questions and answers lost",
     {R(1, 1, NEW), Q, N, R(1, 2, NEW), O, W(2), Q, N, R(1, 3, NEW), O, W(2)},
     TRUE,
     TRUE},
    {"... too soon to tell",
     {R(1, 1, NEW), Q, N, R(1, 2, NEW), O, W(1), Q, N, R(1, 3, NEW), O, W(1)},
     TRUE,
     FALSE},
    {"... but what was ordered shows",
     {R(1, 1, NEW), Q, N, R(1, 2, NEW), O, Q, N, R(1, 3, NEW), E, O, W(9)},
     FALSE,
     FALSE},
    {"... but the token shows",
     {R(1, 1, NEW), Q, N, R(1, 2, NEW), O, Q, N, R(1, 3, NEW), T, O, W(9)},
     FALSE,
     FALSE},
    {"its lease ran out though we answered",
     {R(1, 1, NEW), T, O, W(10), R(1, 2, NEW), O, W(20), R(2, 3, NEW)},
     TRUE,
     TRUE},
    {"... in its last session, not in this one", {R(2, 1, NEW), T, W(30), R(3, 2, NEW)}, FALSE, FALSE},
    {"... long after our last answer", {R(1, 1, NEW), T, O, W(41), R(2, 3, NEW)}, FALSE, FALSE},
    {"... and then it answers", {R(1, 1, NEW), T, O, W(20), R(2, 3, NEW), Q, A(2, 4, NEW)}, FALSE, FALSE},
};

static void test_verdicts(void) {
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkFailureDetector e = {0};
    FkTime now = {1000000};
    fk_failure_detector_acquired(&e, now);
    g_test_message("%s", cases[i].name);
    for (const Step *s = cases[i].steps; s->what; s++) {
      FkHeartbeatSequence at = {s->session, s->seq};
      if (s->what == 'r')
        g_assert_cmpint(fk_failure_detector_heartbeat(&e, at, LEASE_S, now), ==, s->freshness);
      else if (s->what == 'a')
        g_assert_cmpint(fk_failure_detector_probe_answered(&e, at, LEASE_S, now), ==, s->freshness);
      else if (s->what == 'q')
        fk_failure_detector_probe_sent(&e);
      else if (s->what == 'n')
        fk_failure_detector_probe_missed(&e, now);
      else if (s->what == 'o')
        fk_failure_detector_replied(&e, now);
      else if (s->what == 't')
        fk_failure_detector_token_echoed(&e, (FkRev){7}, now);
      else if (s->what == 'e')
        fk_failure_detector_effect_seen(&e);
      else
        now = fk_time_add(now, (double)s->session);
    }
    g_assert_cmpint(fk_failure_detector_is_suspected(&e), ==, cases[i].doubtful);
    g_assert_cmpint(fk_failure_detector_is_partitioned(&e, now), ==, cases[i].deaf);
  }
}

/* Reports alone, copies or not, keep nobody alive, and put off no proof by lease that we don't answer for. */
static void test_silence(void) {
  FkFailureDetector e = {0};
  FkTime now = {1000000}, began = now;
  fk_failure_detector_acquired(&e, now);
  for (guint64 seq = 1; seq <= 50; seq++) {
    now = fk_time_add(now, 1);
    fk_failure_detector_heartbeat(&e, (FkHeartbeatSequence){1, seq}, LEASE_S, now);
  }
  g_assert_cmpint(fk_failure_detector_silent_since(&e).us, ==, began.us);
  g_assert_cmpint(fk_failure_detector_lease_from(&e, 20).us, ==, fk_time_add(began, 20).us);
  g_assert_true(fk_failure_detector_token_echoed(&e, (FkRev){7}, now));
  g_assert_false(fk_failure_detector_token_echoed(&e, (FkRev){7}, now));
  g_assert_cmpint(fk_failure_detector_silent_since(&e).us, ==, now.us);
  g_assert_cmpint(fk_failure_detector_lease_from(&e, 20).us, ==, now.us);
  FkTime answered = fk_time_add(now, 5);
  fk_failure_detector_replied(&e, answered);
  g_assert_cmpint(fk_failure_detector_lease_from(&e, 20).us, ==, answered.us);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/failure_detector/verdicts", test_verdicts);
  g_test_add_func("/failure_detector/silence", test_silence);
  return g_test_run();
}
