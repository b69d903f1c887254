/* The front door's decisions, without a socket: limits, the gate, the reader of requests, what can't be
 * reached. */
#include <string.h>

#include "admission/admission.h"
#include "admission/dependency_health.h"
#include "admission/request_parser.h"
#include "wire/route.h"

#define S 1000000

/* ------------------------------------------------------------------ limits */

/* Whatever a controller has: nothing is promised twice, and everyone has something. */
static void test_limits(void) {
  static const struct {
    FkDoorMeans means;
    FkDoorWishes wishes;
    guint outsiders; /* 0: not said */
  } cases[] = {
      {{5000, 264, 4}, {.head_s = 0}, 2557},         /* the sockets bound it */
      {{3500, 75, 2}, {.head_s = 0}, 1664},          /* here too; 1920 would be affordable */
      {{20000, 75, 2}, {.head_s = 0}, 1920},         /* a quarter of 75 MB, 10 KiB each */
      {{1000, 100, 2}, {.head_s = 0}, 0},            /* a small one */
      {{100, 32, 2}, {.head_s = 0}, 0},              /* hardly anything */
      {{5000, 264, 4}, {.connections = 100}, 100},   /* operators want less */
      {{5000, 264, 4}, {.connections = 9999}, 2557}, /* more than there is */
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkDoorLimits l = fk_door_limits(&cases[i].means, &cases[i].wishes);
    guint in = l.endings, out = l.store_calls + l.cloud_calls + l.worker_calls + l.peer_calls;
    for (guint g = 0; g < FK_GUESTS; g++) {
      g_assert_cmpuint(l.guests[g], >=, 2);
      in += l.guests[g];
    }
    g_assert_cmpfloat(in + out, <=, cases[i].means.sockets);
    g_assert_cmpuint(l.store_calls, >=, 2);
    g_assert_cmpuint(l.held, <=, (gsize)(cases[i].means.ram_mb * 1048576 / 4));
    g_assert_cmpuint(l.requests, >=, 16);
    if (cases[i].outsiders)
      g_assert_cmpuint(l.guests[FK_GUEST_OUTSIDER], ==, cases[i].outsiders);
  }
  FkDoorWishes own = {.head_s = 1, .body_s = 2, .idle_s = 3, .send_s = 4, .memory_mb = 1};
  FkDoorLimits l = fk_door_limits(&cases[0].means, &own);
  g_assert_cmpint(l.head_us, ==, 1 * S);
  g_assert_cmpint(l.body_us, ==, 2 * S);
  g_assert_cmpint(l.idle_us, ==, 3 * S);
  g_assert_cmpint(l.send_us, ==, 4 * S);
  g_assert_cmpuint(l.held, ==, 1048576);
}

/* Sockets, and memory beyond 4,000, bound the workers' connections: 4,500 fit where there is room for them,
 * and what all connections together may take of the memory stays below nine tenths. Up to 4,000 it is the
 * sockets alone. */
static void test_workers(void) {
  static const struct {
    double sockets, ram_mb;
    guint workers;
  } cases[] = {
      {3132, 98, 1068},   {8000, 98, 3016},    {10100, 98, 3856}, /* two fifths of the sockets */
      {12500, 98, 4816},                                          /* here too, over 4,000 */
      {20000, 75, 4000},  {20000, 98, 5017},                      /* the memory's bound */
      {20000, 264, 7816}, {50000, 264, 13516},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkDoorMeans means = {cases[i].sockets, cases[i].ram_mb, 2};
    FkDoorLimits l = fk_door_limits(&means, &(FkDoorWishes){0});
    g_test_message("%g sockets, %g MB: %u workers, %u others", means.sockets, means.ram_mb,
                   l.guests[FK_GUEST_REPORTER], l.guests[FK_GUEST_OUTSIDER]);
    g_assert_cmpuint(l.guests[FK_GUEST_REPORTER], ==, cases[i].workers);
    double bytes = 10240.0 * (l.guests[FK_GUEST_REPORTER] + l.guests[FK_GUEST_OUTSIDER]) + (double)l.held;
    g_assert_cmpfloat(bytes, <=, 0.9 * means.ram_mb * 1048576);
  }
}

/* ------------------------------------------------------------------ the gate */

static FkDoorLimits small(void) {
  return (FkDoorLimits){.guests = {8, 4, 2, 3},
                        .endings = 2,
                        .requests = 10,
                        .held = 10000,
                        .fresh_us = 10 * S,
                        .head_us = 5 * S,
                        .body_us = 6 * S,
                        .idle_us = 100 * S,
                        .send_us = 7 * S,
                        .linger_us = 1 * S};
}

static void come(FkGate *g, FkSlot *s, const char *from, gint64 now) {
  fk_gate_enter(g, s, from, FK_GUEST_OUTSIDER, now);
}

static gboolean ask(FkGate *g, FkSlot *s, FkAsk what, gint64 now, FkVerdict *v) {
  fk_gate_begins(g, s, FK_STAGE_HEAD, now);
  if (!fk_gate_asks(g, s, what, now, v))
    return FALSE;
  fk_gate_begins(g, s, FK_STAGE_BODY, now);
  fk_gate_served(g, s, now);
  return TRUE;
}

static void all_leave(FkGate *g, FkSlot *s, guint n) {
  for (guint i = 0; i < n; i++)
    fk_gate_leave(g, &s[i]);
  fk_gate_check(g);
  fk_gate_free(g);
}

/* Each step has its time, an answer where one helps, and the clock of the next step starts anew. */
static void test_times(void) {
  static const struct {
    FkStage stage;
    gint64 most;
    guint status;
  } cases[] = {{FK_STAGE_FRESH, 10 * S, 0}, {FK_STAGE_HEAD, 5 * S, 408}, {FK_STAGE_BODY, 6 * S, 408},
               {FK_STAGE_SEND, 7 * S, 0},   {FK_STAGE_IDLE, 100 * S, 0}, {FK_STAGE_SERVED, 0, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkDoorLimits l = small();
    FkGate *g = fk_gate_new(&l);
    FkSlot s = {0};
    FkVerdict v;
    gint64 t = 3 * S;
    come(g, &s, "a", t);
    if (cases[i].stage >= FK_STAGE_HEAD)
      fk_gate_begins(g, &s, FK_STAGE_HEAD, t += S);
    if (cases[i].stage >= FK_STAGE_BODY)
      fk_gate_begins(g, &s, FK_STAGE_BODY, t += S);
    if (cases[i].stage >= FK_STAGE_SERVED)
      fk_gate_served(g, &s, t += S);
    if (cases[i].stage >= FK_STAGE_SEND)
      fk_gate_answered(g, &s, cases[i].stage == FK_STAGE_IDLE, t += S);
    g_assert_cmpint(s.stage, ==, cases[i].stage);
    if (!cases[i].most) { /* under way: the core's deadlines, not ours */
      g_assert_cmpint(fk_gate_wakes(g), ==, G_MAXINT64);
      g_assert_null(fk_gate_next(g, t + 1000 * S, &v));
    } else {
      g_assert_cmpint(fk_gate_wakes(g), ==, t + cases[i].most);
      g_assert_null(fk_gate_next(g, t + cases[i].most - 1, &v));
      g_assert_true(fk_gate_next(g, t + cases[i].most, &v) == &s);
      g_assert_cmpuint(v.status, ==, cases[i].status);
      g_assert_cmpint(s.stage, ==, cases[i].status ? FK_STAGE_ENDING : FK_STAGE_OUT);
      g_assert_cmpuint(fk_gate_shut(g, FK_SHUT_TIME), ==, 1);
      if (cases[i].status) /* and lingers no longer than its time */
        g_assert_true(fk_gate_next(g, t + cases[i].most + S, &v) == &s && s.stage == FK_STAGE_OUT);
    }
    all_leave(g, &s, 1);
  }
}

/* A crowd from one address crowds out itself: the one that another address has stays, and so do newcomers. */
static void test_crowd(void) {
  FkDoorLimits l = small();
  FkGate *g = fk_gate_new(&l);
  FkSlot other = {0}, many[40] = {{0}};
  FkVerdict v;
  come(g, &other, "user", 0);
  g_assert_true(ask(g, &other, FK_ASK_POLL, 0, &v));
  fk_gate_answered(g, &other, TRUE, 0); /* idle the longest of all */
  for (guint i = 0; i < 40; i++) {
    come(g, &many[i], "crowd", 1 + i);
    FkSlot *out = fk_gate_next(g, 1 + i, &v);
    if (i < 7) {
      g_assert_null(out);
    } else { /* its own, the longest waiting first; it said nothing, so nothing is said to it */
      g_assert_true(out == &many[i - 7]);
      g_assert_cmpuint(v.status, ==, 0);
      g_assert_cmpint(out->stage, ==, FK_STAGE_OUT);
    }
    g_assert_null(fk_gate_next(g, 1 + i, &v));
    fk_gate_check(g);
  }
  g_assert_cmpint(other.stage, ==, FK_STAGE_IDLE);
  g_assert_cmpuint(fk_gate_connections(g, FK_GUEST_OUTSIDER), ==, 8);
  g_assert_cmpuint(fk_gate_shut(g, FK_SHUT_CROWD), ==, 33);
  fk_gate_leave(g, &other);
  all_leave(g, many, 40);
}

/* Places taken by outsiders don't keep a report or a health check out, and one that had its answer is closed
 * after those that never asked. */
static void test_shares(void) {
  FkDoorLimits l = small();
  FkGate *g = fk_gate_new(&l);
  FkSlot s[20] = {{0}};
  FkVerdict v;
  for (guint i = 0; i < 8; i++)
    come(g, &s[i], "lb", i);
  g_assert_true(ask(g, &s[0], FK_ASK_POLL, 9, &v));
  fk_gate_answered(g, &s[0], TRUE, 9);
  /* six reports: four are counted as workers', the others stay outsiders and are served all the same */
  for (guint i = 8; i < 14; i++) {
    come(g, &s[i], "worker", 10 + i);
    while (fk_gate_next(g, 10 + i, &v))
      ;
    g_assert_true(ask(g, &s[i], FK_ASK_REPORT, 10 + i, &v));
    g_assert_cmpint(s[i].guest, ==, i < 12 ? FK_GUEST_REPORTER : FK_GUEST_OUTSIDER);
  }
  come(g, &s[14], "lb", 30);
  while (fk_gate_next(g, 30, &v))
    ;
  g_assert_true(ask(g, &s[14], FK_ASK_HEALTH, 30, &v));
  g_assert_cmpint(s[14].guest, ==, FK_GUEST_CHECKER);
  g_assert_cmpint(s[0].stage, ==, FK_STAGE_IDLE);
  g_assert_cmpuint(fk_gate_connections(g, FK_GUEST_OUTSIDER), <=, 8);
  /* a fifth worker's place is the longest idle one's of its own kind */
  fk_gate_answered(g, &s[8], TRUE, 31);
  fk_gate_answered(g, &s[9], TRUE, 32);
  come(g, &s[15], "worker", 33);
  while (fk_gate_next(g, 33, &v))
    ;
  g_assert_true(ask(g, &s[15], FK_ASK_REPORT, 33, &v));
  g_assert_cmpint(s[15].guest, ==, FK_GUEST_REPORTER);
  g_assert_true(fk_gate_next(g, 33, &v) == &s[8]);
  all_leave(g, s, 20);
}

/* Under overload: health checks, reports, cancellations, polls, submissions, in that order. */
static void test_order(void) {
  static const struct {
    FkAsk what;
    guint room; /* of ten, from addresses of their own */
  } cases[] = {{FK_ASK_OTHER, 5},  {FK_ASK_SUBMIT, 7},  {FK_ASK_POLL, 8},
               {FK_ASK_CANCEL, 9}, {FK_ASK_REPORT, 10}, {FK_ASK_HEALTH, 100}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkDoorLimits l = small();
    l.guests[FK_GUEST_OUTSIDER] = 200;
    FkGate *g = fk_gate_new(&l);
    FkSlot s[100] = {{0}};
    FkVerdict v = {0};
    guint in = 0;
    for (; in < 100; in++) {
      g_autofree char *from = g_strdup_printf("10.0.0.%u", in);
      come(g, &s[in], from, 0);
      if (!ask(g, &s[in], cases[i].what, 0, &v))
        break;
    }
    g_assert_cmpuint(in, ==, cases[i].room);
    if (in < 100) {
      g_assert_cmpuint(v.status, ==, 503);
      g_assert_cmpuint(v.retry_s, >=, 1);
      g_assert_cmpint(s[in].stage, ==, FK_STAGE_ENDING);
      g_assert_cmpuint(fk_gate_shut(g, FK_SHUT_BUSY), ==, 1);
    }
    all_leave(g, s, 100);
  }
}

/* One address alone may use half of the room and then an equal part of it; another always finds some. */
static void test_fair(void) {
  FkDoorLimits l = small();
  l.guests[FK_GUEST_OUTSIDER] = 200;
  l.requests = 100;
  FkGate *g = fk_gate_new(&l);
  FkSlot s[200] = {{0}}, other[40] = {{0}};
  FkVerdict v;
  guint first = 0, second = 0;
  for (; first < 200; first++) {
    come(g, &s[first], "greedy", 0);
    if (!ask(g, &s[first], FK_ASK_SUBMIT, 0, &v))
      break;
  }
  g_assert_cmpuint(first, ==, 65);
  /* with all of the submissions' room taken there is none left for others' submissions, but for their polls
   */
  come(g, &other[0], "modest", 0);
  g_assert_true(ask(g, &other[0], FK_ASK_POLL, 0, &v));
  /* when its requests are over, past half of the room it gets no more than its part */
  for (guint i = 0; i < 30; i++)
    fk_gate_answered(g, &s[i], TRUE, 1);
  guint again = 0;
  while (ask(g, &s[again], FK_ASK_SUBMIT, 2, &v))
    again++;
  g_assert_cmpuint(35 + again, <=, 33 + 2);
  for (guint i = 1; i < 40 && second == 0; i++) {
    come(g, &other[i], "modest", 3);
    if (!ask(g, &other[i], FK_ASK_SUBMIT, 3, &v))
      second = i;
  }
  g_assert_cmpuint(second, >=, 25);
  fk_gate_check(g);
  for (guint i = 0; i < 40; i++)
    fk_gate_leave(g, &other[i]);
  all_leave(g, s, 200);
}

/* What is held is bounded as a whole, by address past half of it, and a report has more room than the rest.
 */
static void test_memory(void) {
  FkDoorLimits l = small();
  FkGate *g = fk_gate_new(&l);
  FkSlot a = {0}, b = {0}, c = {0};
  FkVerdict v;
  come(g, &a, "a", 0);
  come(g, &b, "b", 0);
  come(g, &c, "c", 0);
  fk_gate_begins(g, &a, FK_STAGE_HEAD, 0);
  g_assert_true(fk_gate_asks(g, &a, FK_ASK_SUBMIT, 0, &v));
  fk_gate_begins(g, &a, FK_STAGE_BODY, 0);
  g_assert_true(fk_gate_holds(g, &a, 3000, &v));
  fk_gate_begins(g, &b, FK_STAGE_HEAD, 0);
  g_assert_true(fk_gate_asks(g, &b, FK_ASK_REPORT, 0, &v));
  fk_gate_begins(g, &b, FK_STAGE_BODY, 0);
  g_assert_true(fk_gate_holds(g, &b, 5000, &v));
  g_assert_false(fk_gate_holds(g, &a, 4000, &v)); /* over half, and over a's half of 6,500 */
  g_assert_cmpuint(v.status, ==, 503);
  fk_gate_ends(g, &a, FK_SHUT_MEMORY, 0);
  g_assert_cmpuint(fk_gate_held(g), ==, 5000);
  g_assert_true(fk_gate_holds(g, &b, 9900, &v));
  fk_gate_begins(g, &c, FK_STAGE_HEAD, 0);
  g_assert_false(fk_gate_holds(g, &c, 50, &v));
  /* what is under way is never refused half-way */
  fk_gate_served(g, &b, 0);
  g_assert_true(fk_gate_holds(g, &b, 20000, &v));
  fk_gate_leave(g, &a);
  fk_gate_leave(g, &b);
  g_assert_cmpuint(fk_gate_held(g), ==, 50);
  all_leave(g, &c, 1);
}

/* Random lives of connections from a few addresses: counts are always the sums of their parts, no kind is
 * over its share when all that must go has gone, who is crowded out is of a largest crowd that can be, and a
 * health check is never refused. */
static void test_property(void) {
  enum { N = 60, STEPS = 40000 };
  for (guint32 seed = 1; seed <= 4; seed++) {
    g_autoptr(GRand) r = g_rand_new_with_seed(seed);
    FkDoorLimits l = small();
    FkGate *g = fk_gate_new(&l);
    FkSlot s[N] = {{0}};
    gint64 t = 0;
    for (guint i = 0; i < STEPS; i++) {
      FkSlot *x = &s[g_rand_int_range(r, 0, N)], *out;
      FkVerdict v;
      t += g_rand_int_range(r, 0, S / 10);
      gboolean gone = g_rand_int_range(r, 0, 8) == 0;
      if (x->stage == FK_STAGE_OUT) {
        g_autofree char *from = g_strdup_printf("%d", (int)(5 * g_rand_double(r) * g_rand_double(r)));
        fk_gate_enter(g, x, from, g_rand_int_range(r, 0, 6) ? FK_GUEST_OUTSIDER : FK_GUEST_PEER, t);
      } else if (gone) {
        fk_gate_leave(g, x);
      } else if (x->stage == FK_STAGE_FRESH || x->stage == FK_STAGE_IDLE) {
        fk_gate_begins(g, x, FK_STAGE_HEAD, t);
      } else if (x->stage == FK_STAGE_HEAD) {
        FkAsk what = x->guest == FK_GUEST_PEER ? FK_ASK_PEER : g_rand_int_range(r, 0, FK_ASKS);
        gboolean in = fk_gate_asks(g, x, what, t, &v);
        g_assert_true(in || (what != FK_ASK_HEALTH && v.status == 503 && x->stage == FK_STAGE_ENDING));
        if (in)
          fk_gate_begins(g, x, FK_STAGE_BODY, t);
      } else if (x->stage == FK_STAGE_BODY) {
        if (fk_gate_holds(g, x, (gsize)g_rand_int_range(r, 0, 3000), &v))
          fk_gate_served(g, x, t);
        else
          fk_gate_ends(g, x, FK_SHUT_MEMORY, t);
      } else if (x->stage == FK_STAGE_SERVED || x->stage == FK_STAGE_SEND) {
        fk_gate_answered(g, x, g_rand_boolean(r), t);
        fk_gate_holds(g, x, x->stage == FK_STAGE_IDLE ? 0 : 100, &v);
      }
      guint64 crowded = fk_gate_shut(g, FK_SHUT_CROWD);
      guint counts[5] = {0};
      gboolean can[5] = {0};
      FkParty *parties[5] = {0};
      for (guint k = 0; k < N; k++)
        for (guint p = 0; p < 5 && s[k].stage != FK_STAGE_OUT; p++)
          if (!parties[p] || parties[p] == s[k].party) {
            parties[p] = s[k].party;
            gboolean outsider = s[k].guest == FK_GUEST_OUTSIDER && s[k].stage != FK_STAGE_ENDING;
            counts[p] += outsider;
            can[p] |= outsider && s[k].stage != FK_STAGE_SERVED && s[k].stage != FK_STAGE_SEND;
            break;
          }
      guint over = fk_gate_connections(g, FK_GUEST_OUTSIDER) > l.guests[FK_GUEST_OUTSIDER];
      for (guint n = 0; (out = fk_gate_next(g, t, &v)); n++)
        if (n == 0 && over && fk_gate_shut(g, FK_SHUT_CROWD) > crowded &&
            fk_gate_connections(g, FK_GUEST_OUTSIDER) == l.guests[FK_GUEST_OUTSIDER]) {
          guint was = 0, most = 0;
          for (guint p = 0; p < 5; p++) {
            most = can[p] ? MAX(most, counts[p]) : most;
            if (out->party ? parties[p] == out->party : FALSE)
              was = counts[p];
          }
          g_assert_true(!out->party || was == most);
        }
      fk_gate_check(g);
      guint stuck = fk_gate_requests(g);
      g_assert_cmpuint(fk_gate_connections(g, FK_GUEST_OUTSIDER), <=,
                       MAX(l.guests[FK_GUEST_OUTSIDER], stuck));
      g_assert_cmpuint(fk_gate_connections(g, FK_GUEST_CHECKER), <=, l.guests[FK_GUEST_CHECKER]);
      g_assert_cmpuint(fk_gate_connections(g, FK_GUEST_REPORTER), <=, l.guests[FK_GUEST_REPORTER]);
    }
    all_leave(g, s, N);
  }
}

/* ------------------------------------------------------------------ requests */

static const char *long_of(const char *before, char c, gsize n, const char *after, GString *into) {
  g_string_assign(into, before);
  gsize at = into->len;
  g_string_set_size(into, at + n);
  memset(into->str + at, c, n);
  return g_string_append(into, after)->str;
}

typedef struct {
  FkReadStage stage;
  guint status;
  gsize used, body;
} Read;

static Read read_in_pieces(const FkDoorLimits *l, const char *text, gsize len, gsize piece) {
  FkReader r;
  gsize used = 0;
  fk_reader_init(&r);
  while (used < len && r.stage < FK_READ_ALL) {
    gsize n = fk_reader_feed(&r, l, text + used, MIN(piece, len - used));
    used += n;
    if (!n)
      break;
  }
  return (Read){r.stage, r.status, used, r.body};
}

static void test_requests(void) {
  const FkDoorMeans means = {5000, 264, 4};
  const FkDoorWishes none = {0};
  const FkDoorLimits l = fk_door_limits(&means, &none);
  g_autoptr(GString) a = g_string_new(""), b = g_string_new(""), c = g_string_new(""), d = g_string_new(""),
                     e = g_string_new("");
  g_string_assign(e, "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (guint i = 0; i < 40000; i++)
    g_string_append(e, "1\r\nx\r\n");
  const struct {
    const char *text;
    FkReadStage stage;
    guint status;
    gsize left; /* bytes after the request */
  } cases[] = {
      {"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", FK_READ_ALL, 0, 0},
      {"GET /up HTTP/1.0\r\n\r\n", FK_READ_ALL, 0, 0},
      {"GET /up HTTP/1.1\r\nHost: x\r\n\r\nGET /up", FK_READ_ALL, 0, 7},
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", FK_READ_ALL, 0, 0},
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", FK_READ_BODY, 0, 0},
      {"POST /hello HTTP/1.1\r\nContent-Length: 0\r\n\r\n", FK_READ_ALL, 0, 0},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", FK_READ_ALL, 0,
       0},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: x\r\n\r\nGET",
       FK_READ_ALL, 0, 3},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", FK_READ_BODY, 0, 0},
      {"GET /up HTTP/1.1\r\nHos", FK_READ_HEAD, 0, 0},
      /* too long, declared or not */
      {"POST /hello HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", FK_READ_BAD, 413, 0},
      {"POST /hello HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", FK_READ_BAD, 413, 0},
      {long_of("POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n", 'x', 0x11000,
               "\r\n0\r\n\r\n", a),
       FK_READ_BAD, 413, G_MAXSIZE},
      {e->str, FK_READ_BAD, 413, G_MAXSIZE},
      {long_of("GET /up HTTP/1.1\r\nA: ", 'x', 20000, "", b), FK_READ_BAD, 431, G_MAXSIZE},
      {long_of("GET /", 'x', 3000, " HTTP/1.1\r\n\r\n", c), FK_READ_BAD, 414, G_MAXSIZE},
      {long_of("POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;", 'x', 200000, "", d),
       FK_READ_BAD, 413, G_MAXSIZE},
      /* two ways to read it: none is taken */
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", FK_READ_BAD, 400,
       G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", FK_READ_BAD, 400, G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nContent-Length: -5\r\n\r\n", FK_READ_BAD, 400, G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nContent-Length: 99999999999999999999999999\r\n\r\n", FK_READ_BAD, 400,
       G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", FK_READ_BAD, 400, G_MAXSIZE},
      {"GET /up HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", FK_READ_BAD, 400, G_MAXSIZE},
      {"CONNECT a:80 HTTP/1.1\r\n\r\n", FK_READ_BAD, 400, G_MAXSIZE},
      {"\x16\x03\x01\x02", FK_READ_BAD, 400, G_MAXSIZE}, /* TLS */
      {"\r\n\r\nwhat", FK_READ_BAD, 400, G_MAXSIZE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    gsize len = strlen(cases[i].text);
    Read whole = read_in_pieces(&l, cases[i].text, len, len);
    if (whole.stage != cases[i].stage || whole.status != cases[i].status)
      g_error("case %u: stage %d, status %u", i, whole.stage, whole.status);
    if (cases[i].left != G_MAXSIZE)
      g_assert_cmpuint(len - whole.used, ==, cases[i].left);
    /* however it is cut, it reads the same, and nothing is kept that is over the bounds by more than a piece
     */
    static const gsize pieces[] = {1, 2, 3, 7, 100, 8192};
    for (guint k = 0; k < G_N_ELEMENTS(pieces); k++) {
      Read cut = read_in_pieces(&l, cases[i].text, len, pieces[k]);
      g_assert_cmpint(cut.stage, ==, whole.stage);
      g_assert_cmpuint(cut.status, ==, whole.status);
      g_assert_cmpuint(cut.used, <=, l.raw + pieces[k]);
      g_assert_cmpuint(cut.body, <=, l.body + pieces[k]);
    }
  }
  FkReader r;
  const char *expects = "POST /submissions HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
  fk_reader_init(&r);
  fk_reader_feed(&r, &l, expects, strlen(expects));
  g_assert_true(r.expects && r.stage == FK_READ_BODY);
  g_assert_cmpstr(r.path, ==, "/submissions");
  g_assert_cmpstr(fk_reader_method(&r), ==, "POST");
}

static void test_routes(void) {
  static const struct {
    const char *method, *path;
    FkRoute route;
    const char *job;
  } cases[] = {{"GET", "/up", FK_ROUTE_UP, NULL},
               {"GET", "/up?x=1", FK_ROUTE_UP, NULL},
               {"POST", "/up", FK_ROUTE_METHOD, NULL},
               {"POST", "/hello", FK_ROUTE_REPORT, NULL},
               {"GET", "/hello", FK_ROUTE_METHOD, NULL},
               {"POST", "/submissions", FK_ROUTE_SUBMIT, NULL},
               {"GET", "/submissions", FK_ROUTE_METHOD, NULL},
               {"GET", "/submissions/run-1", FK_ROUTE_POLL, "run-1"},
               {"GET", "/submissions/", FK_ROUTE_POLL, ""},
               {"POST", "/submissions/run-1", FK_ROUTE_METHOD, "run-1"},
               {"POST", "/submissions/run-1/withdraw", FK_ROUTE_CANCEL, "run-1"},
               {"GET", "/submissions/run-1/withdraw", FK_ROUTE_METHOD, "run-1"},
               {"POST", "/submissions/run-1/withdrawn", FK_ROUTE_NONE, NULL},
               {"POST", "/submissions/run-1/withdraw/", FK_ROUTE_NONE, NULL},
               {"GET", "/submissionsx", FK_ROUTE_NONE, NULL},
               {"GET", "", FK_ROUTE_NONE, NULL},
               {"GET", "*", FK_ROUTE_NONE, NULL}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    const char *job = NULL;
    gsize len = 0;
    g_assert_cmpint(fk_route(cases[i].method, cases[i].path, &job, &len), ==, cases[i].route);
    g_autofree char *name = job ? g_strndup(job, len) : NULL;
    g_assert_cmpstr(name, ==, cases[i].job);
  }
}

/* ------------------------------------------------------------------ what can't be reached */

static void test_reach(void) {
  static const struct {
    double at_s;
    const char *note; /* NULL: it answers; "": nobody asks */
    const char *says; /* a part of what is said, or NULL: nothing */
    gboolean bad;
  } steps[] = {
      {0.1, "no answer", "never was since the start", TRUE}, /* at the start: the first failure */
      {1, "no answer", NULL, FALSE},                         /* not again ... */
      {10.2, "", "since 10.1 s", TRUE},                      /* ... but once a window */
      {11, NULL, "reached again, after 10.9 s", FALSE},
      {12, NULL, NULL, FALSE},
      {20, "it answers 503", NULL, FALSE}, /* one lost call, two: that happens */
      {21, "no answer", NULL, FALSE},
      {22, NULL, NULL, FALSE},
      {30, "no answer", NULL, FALSE},
      {31, "no answer", NULL, FALSE},
      {32, "no answer", "(no answer) since 2.0 s; nothing goes", TRUE},
      {33, NULL, "after 3.0 s", FALSE},
  };
  FkReach *r = fk_reach_new(10 * S);
  guint store = fk_reach_add(r, "the store", "nothing goes"),
        quiet = fk_reach_add(r, "the cloud", "no machines");
  for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
    gint64 t = (gint64)(steps[i].at_s * S);
    gboolean bad = FALSE;
    fk_reach_note(r, quiet, NULL, t);
    if (!steps[i].note || *steps[i].note)
      fk_reach_note(r, store, steps[i].note, t);
    g_autofree char *said = fk_reach_say(r, t, &bad);
    if (!steps[i].says != !said || (said && !strstr(said, steps[i].says)))
      g_error("step %u: %s", i, said ? said : "nothing");
    g_assert_cmpint(bad, ==, steps[i].bad);
    g_assert_null(fk_reach_say(r, t, &bad));
  }
  fk_reach_free(r);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/door/limits", test_limits);
  g_test_add_func("/door/workers", test_workers);
  g_test_add_func("/door/times", test_times);
  g_test_add_func("/door/crowd", test_crowd);
  g_test_add_func("/door/shares", test_shares);
  g_test_add_func("/door/order", test_order);
  g_test_add_func("/door/fair", test_fair);
  g_test_add_func("/door/memory", test_memory);
  g_test_add_func("/door/property", test_property);
  g_test_add_func("/door/requests", test_requests);
  g_test_add_func("/door/routes", test_routes);
  g_test_add_func("/door/reach", test_reach);
  return g_test_run();
}
