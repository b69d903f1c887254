/* Tests of admission control without sockets: limits, decisions, the request parser, routes, and the health
 * of dependencies. */
#include <string.h>

#include "admission/admission.h"
#include "admission/dependency_health.h"
#include "admission/request_parser.h"
#include "wire/route.h"

#define US_PER_S 1000000

/* ------------------------------------------------------------------ limits */

/* With any resources, the limits together use no more sockets than there are, and each class has at least two
 * connections. */
static void test_limits(void) {
  static const struct {
    FkAdmissionResources resources;
    FkAdmissionOptions options;
    guint clients; /* expected limit of client connections; 0 if not checked */
  } cases[] = {
      {{5000, 264, 4}, {.head_s = 0}, 2557}, /* limited by the sockets */
      {{3500, 75, 2}, {.head_s = 0}, 1664},  /* limited by the sockets; the memory allows 1920 */
      {{20000, 75, 2}, {.head_s = 0}, 1920}, /* limited by the memory: a quarter of 75 MB, 10 KiB each */
      {{1000, 100, 2}, {.head_s = 0}, 0},    /* a small controller */
      {{100, 32, 2}, {.head_s = 0}, 0},      /* hardly any resources */
      {{5000, 264, 4}, {.connections = 100}, 100},   /* operators set a lower limit */
      {{5000, 264, 4}, {.connections = 9999}, 2557}, /* operators set more than the sockets allow */
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkAdmissionLimits l = fk_admission_limits_derive(&cases[i].resources, &cases[i].options);
    guint in = l.lingering,
          out = l.store_connections + l.cloud_connections + l.worker_connections + l.peer_connections;
    for (guint g = 0; g < FK_CONNECTION_CLASSES; g++) {
      g_assert_cmpuint(l.connections[g], >=, 2);
      in += l.connections[g];
    }
    g_assert_cmpfloat(in + out, <=, cases[i].resources.sockets);
    g_assert_cmpuint(l.store_connections, >=, 2);
    g_assert_cmpuint(l.buffered_bytes, <=, (gsize)(cases[i].resources.ram_mb * 1048576 / 4));
    g_assert_cmpuint(l.requests, >=, 16);
    if (cases[i].clients)
      g_assert_cmpuint(l.connections[FK_CONNECTION_CLASS_CLIENT], ==, cases[i].clients);
  }
  FkAdmissionOptions own = {.head_s = 1, .body_s = 2, .idle_s = 3, .send_s = 4, .memory_mb = 1};
  FkAdmissionLimits l = fk_admission_limits_derive(&cases[0].resources, &own);
  g_assert_cmpint(l.head_us, ==, 1 * US_PER_S);
  g_assert_cmpint(l.body_us, ==, 2 * US_PER_S);
  g_assert_cmpint(l.idle_us, ==, 3 * US_PER_S);
  g_assert_cmpint(l.send_us, ==, 4 * US_PER_S);
  g_assert_cmpuint(l.buffered_bytes, ==, 1048576);
}

/* Up to 4,000 connections of workers, only the sockets limit their number; beyond 4,000 the memory does too.
 * A controller with enough of both accepts 4,500. The connections of workers and clients and the buffers
 * together use at most nine tenths of the memory. */
static void test_worker_connections(void) {
  static const struct {
    double sockets, ram_mb;
    guint workers;
  } cases[] = {
      /* two fifths of the sockets left after the outbound, peer and reserved ones */
      {3132, 98, 1068},
      {8000, 98, 3016},
      {10100, 98, 3856},
      /* more than 4,000 worker connections; the sockets are still the limit */
      {12500, 98, 4816},
      {20000, 264, 7816},
      /* the memory is the limit */
      {20000, 75, 4000},
      {20000, 98, 5017},
      {50000, 264, 13516},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkAdmissionResources resources = {cases[i].sockets, cases[i].ram_mb, 2};
    FkAdmissionLimits l = fk_admission_limits_derive(&resources, &(FkAdmissionOptions){0});
    g_test_message("%g sockets, %g MB: %u workers, %u others", resources.sockets, resources.ram_mb,
                   l.connections[FK_CONNECTION_CLASS_WORKER], l.connections[FK_CONNECTION_CLASS_CLIENT]);
    g_assert_cmpuint(l.connections[FK_CONNECTION_CLASS_WORKER], ==, cases[i].workers);
    double bytes =
        10240.0 * (l.connections[FK_CONNECTION_CLASS_WORKER] + l.connections[FK_CONNECTION_CLASS_CLIENT]) +
        (double)l.buffered_bytes;
    g_assert_cmpfloat(bytes, <=, 0.9 * resources.ram_mb * 1048576);
  }
}

/* ------------------------------------------------------------------ decisions */

static FkAdmissionLimits small_limits(void) {
  return (FkAdmissionLimits){.connections = {8, 4, 2, 3},
                             .lingering = 2,
                             .requests = 10,
                             .buffered_bytes = 10000,
                             .first_byte_us = 10 * US_PER_S,
                             .head_us = 5 * US_PER_S,
                             .body_us = 6 * US_PER_S,
                             .idle_us = 100 * US_PER_S,
                             .send_us = 7 * US_PER_S,
                             .linger_us = 1 * US_PER_S};
}

static void open_connection(FkAdmission *admission, FkConnectionSlot *s, const char *from, gint64 now) {
  fk_admission_connection_opened(admission, s, from, FK_CONNECTION_CLASS_CLIENT, now);
}

static gboolean send_request(FkAdmission *admission, FkConnectionSlot *s, FkRequestClass request_class,
                             gint64 now, FkRejection *rejection) {
  fk_admission_begin_stage(admission, s, FK_STAGE_HEAD, now);
  if (!fk_admission_admit_request(admission, s, request_class, now, rejection))
    return FALSE;
  fk_admission_begin_stage(admission, s, FK_STAGE_BODY, now);
  fk_admission_request_complete(admission, s, now);
  return TRUE;
}

static void close_all(FkAdmission *admission, FkConnectionSlot *s, guint n) {
  for (guint i = 0; i < n; i++)
    fk_admission_connection_closed(admission, &s[i]);
  fk_admission_verify(admission);
  fk_admission_free(admission);
}

/* Each stage but FK_STAGE_HANDLING has a time limit, which starts when the stage begins. A timeout in the
 * head or the body of a request is answered with 408. */
static void test_timeouts(void) {
  static const struct {
    FkConnectionStage stage;
    gint64 limit_us;
    guint status;
  } cases[] = {{FK_STAGE_CONNECTED, 10 * US_PER_S, 0}, {FK_STAGE_HEAD, 5 * US_PER_S, 408},
               {FK_STAGE_BODY, 6 * US_PER_S, 408},     {FK_STAGE_SENDING, 7 * US_PER_S, 0},
               {FK_STAGE_IDLE, 100 * US_PER_S, 0},     {FK_STAGE_HANDLING, 0, 0}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkAdmissionLimits l = small_limits();
    FkAdmission *admission = fk_admission_new(&l);
    FkConnectionSlot s = {0};
    FkRejection rejection;
    gint64 t = 3 * US_PER_S;
    open_connection(admission, &s, "a", t);
    if (cases[i].stage >= FK_STAGE_HEAD)
      fk_admission_begin_stage(admission, &s, FK_STAGE_HEAD, t += US_PER_S);
    if (cases[i].stage >= FK_STAGE_BODY)
      fk_admission_begin_stage(admission, &s, FK_STAGE_BODY, t += US_PER_S);
    if (cases[i].stage >= FK_STAGE_HANDLING)
      fk_admission_request_complete(admission, &s, t += US_PER_S);
    if (cases[i].stage >= FK_STAGE_SENDING)
      fk_admission_response_written(admission, &s, cases[i].stage == FK_STAGE_IDLE, t += US_PER_S);
    g_assert_cmpint(s.stage, ==, cases[i].stage);
    if (!cases[i].limit_us) { /* no timeout while handling: the handler has its own deadlines */
      g_assert_cmpint(fk_admission_next_deadline_us(admission), ==, G_MAXINT64);
      g_assert_null(fk_admission_next_eviction(admission, t + 1000 * US_PER_S, &rejection));
    } else {
      g_assert_cmpint(fk_admission_next_deadline_us(admission), ==, t + cases[i].limit_us);
      g_assert_null(fk_admission_next_eviction(admission, t + cases[i].limit_us - 1, &rejection));
      g_assert_true(fk_admission_next_eviction(admission, t + cases[i].limit_us, &rejection) == &s);
      g_assert_cmpuint(rejection.status, ==, cases[i].status);
      g_assert_cmpint(s.stage, ==, cases[i].status ? FK_STAGE_LINGERING : FK_STAGE_UNTRACKED);
      g_assert_cmpuint(fk_admission_rejections(admission, FK_REJECTION_TIMEOUT), ==, 1);
      if (cases[i].status) /* the rejected connection lingers no longer than its time limit */
        g_assert_true(fk_admission_next_eviction(admission, t + cases[i].limit_us + US_PER_S, &rejection) ==
                          &s &&
                      s.stage == FK_STAGE_UNTRACKED);
    }
    close_all(admission, &s, 1);
  }
}

/* A flood from one address evicts its own oldest connections. Its newest ones and another address's
 * connection stay. */
static void test_eviction(void) {
  FkAdmissionLimits l = small_limits();
  FkAdmission *admission = fk_admission_new(&l);
  FkConnectionSlot other = {0}, many[40] = {{0}};
  FkRejection rejection;
  open_connection(admission, &other, "user", 0);
  g_assert_true(send_request(admission, &other, FK_REQUEST_CLASS_POLL, 0, &rejection));
  /* `other` is the oldest connection, and idle, so it may be evicted; it stays because its address has only
   * one connection */
  fk_admission_response_written(admission, &other, TRUE, 0);
  for (guint i = 0; i < 40; i++) {
    open_connection(admission, &many[i], "crowd", 1 + i);
    FkConnectionSlot *out = fk_admission_next_eviction(admission, 1 + i, &rejection);
    if (i < 7) {
      g_assert_null(out);
    } else { /* the flood's longest waiting connection; it sent no request, so it gets no response */
      g_assert_true(out == &many[i - 7]);
      g_assert_cmpuint(rejection.status, ==, 0);
      g_assert_cmpint(out->stage, ==, FK_STAGE_UNTRACKED);
    }
    g_assert_null(fk_admission_next_eviction(admission, 1 + i, &rejection));
    fk_admission_verify(admission);
  }
  g_assert_cmpint(other.stage, ==, FK_STAGE_IDLE);
  g_assert_cmpuint(fk_admission_connections(admission, FK_CONNECTION_CLASS_CLIENT), ==, 8);
  g_assert_cmpuint(fk_admission_rejections(admission, FK_REJECTION_EVICTED), ==, 33);
  fk_admission_connection_closed(admission, &other);
  close_all(admission, many, 40);
}

/* When client connections have reached their limit, a heartbeat and a health check still get in. A connection
 * that had a response is evicted after those that never sent a request. */
static void test_shares(void) {
  FkAdmissionLimits l = small_limits();
  FkAdmission *admission = fk_admission_new(&l);
  FkConnectionSlot s[20] = {{0}};
  FkRejection rejection;
  for (guint i = 0; i < 8; i++)
    open_connection(admission, &s[i], "lb", i);
  g_assert_true(send_request(admission, &s[0], FK_REQUEST_CLASS_POLL, 9, &rejection));
  fk_admission_response_written(admission, &s[0], TRUE, 9);
  /* six heartbeats: four connections move to the worker class, which is then full; the other two stay in the
   * client class and are served too */
  for (guint i = 8; i < 14; i++) {
    open_connection(admission, &s[i], "worker", 10 + i);
    while (fk_admission_next_eviction(admission, 10 + i, &rejection))
      ;
    g_assert_true(send_request(admission, &s[i], FK_REQUEST_CLASS_HEARTBEAT, 10 + i, &rejection));
    g_assert_cmpint(s[i].connection_class, ==,
                    i < 12 ? FK_CONNECTION_CLASS_WORKER : FK_CONNECTION_CLASS_CLIENT);
  }
  open_connection(admission, &s[14], "lb", 30);
  while (fk_admission_next_eviction(admission, 30, &rejection))
    ;
  g_assert_true(send_request(admission, &s[14], FK_REQUEST_CLASS_HEALTH, 30, &rejection));
  g_assert_cmpint(s[14].connection_class, ==, FK_CONNECTION_CLASS_HEALTH_CHECK);
  g_assert_cmpint(s[0].stage, ==, FK_STAGE_IDLE);
  g_assert_cmpuint(fk_admission_connections(admission, FK_CONNECTION_CLASS_CLIENT), <=, 8);
  /* a fifth worker's connection evicts the longest idle connection of a worker */
  fk_admission_response_written(admission, &s[8], TRUE, 31);
  fk_admission_response_written(admission, &s[9], TRUE, 32);
  open_connection(admission, &s[15], "worker", 33);
  while (fk_admission_next_eviction(admission, 33, &rejection))
    ;
  g_assert_true(send_request(admission, &s[15], FK_REQUEST_CLASS_HEARTBEAT, 33, &rejection));
  g_assert_cmpint(s[15].connection_class, ==, FK_CONNECTION_CLASS_WORKER);
  g_assert_true(fk_admission_next_eviction(admission, 33, &rejection) == &s[8]);
  close_all(admission, s, 20);
}

/* Under overload, requests are admitted by priority, in this order: health checks, heartbeats, cancellations,
 * polls, submissions, others. */
static void test_priority_order(void) {
  static const struct {
    FkRequestClass request_class;
    guint admitted; /* requests admitted with a limit of ten, each from another address */
  } cases[] = {{FK_REQUEST_CLASS_OTHER, 5},      {FK_REQUEST_CLASS_SUBMIT, 7},
               {FK_REQUEST_CLASS_POLL, 8},       {FK_REQUEST_CLASS_CANCEL, 9},
               {FK_REQUEST_CLASS_HEARTBEAT, 10}, {FK_REQUEST_CLASS_HEALTH, 100}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FkAdmissionLimits l = small_limits();
    l.connections[FK_CONNECTION_CLASS_CLIENT] = 200;
    FkAdmission *admission = fk_admission_new(&l);
    FkConnectionSlot s[100] = {{0}};
    FkRejection rejection = {0};
    guint in = 0;
    for (; in < 100; in++) {
      g_autofree char *from = g_strdup_printf("10.0.0.%u", in);
      open_connection(admission, &s[in], from, 0);
      if (!send_request(admission, &s[in], cases[i].request_class, 0, &rejection))
        break;
    }
    g_assert_cmpuint(in, ==, cases[i].admitted);
    if (in < 100) {
      g_assert_cmpuint(rejection.status, ==, 503);
      g_assert_cmpuint(rejection.retry_after_s, >=, 1);
      g_assert_cmpint(s[in].stage, ==, FK_STAGE_LINGERING);
      g_assert_cmpuint(fk_admission_rejections(admission, FK_REJECTION_OVERLOADED), ==, 1);
    }
    close_all(admission, s, 100);
  }
}

/* An address alone may use all the capacity for submissions. Once addresses share the capacity, an address
 * gets only its equal share while more than half is in use, so that another address finds free capacity. */
static void test_fair_share(void) {
  FkAdmissionLimits l = small_limits();
  l.connections[FK_CONNECTION_CLASS_CLIENT] = 200;
  l.requests = 100;
  FkAdmission *admission = fk_admission_new(&l);
  FkConnectionSlot s[200] = {{0}}, other[40] = {{0}};
  FkRejection rejection;
  guint first = 0, second = 0;
  for (; first < 200; first++) {
    open_connection(admission, &s[first], "greedy", 0);
    if (!send_request(admission, &s[first], FK_REQUEST_CLASS_SUBMIT, 0, &rejection))
      break;
  }
  g_assert_cmpuint(first, ==, 65);
  /* the capacity for submissions is used up, but a poll from another address is admitted */
  open_connection(admission, &other[0], "modest", 0);
  g_assert_true(send_request(admission, &other[0], FK_REQUEST_CLASS_POLL, 0, &rejection));
  /* 30 requests of the first address end; two addresses share now, so it gets no more than half */
  for (guint i = 0; i < 30; i++)
    fk_admission_response_written(admission, &s[i], TRUE, 1);
  guint again = 0;
  while (send_request(admission, &s[again], FK_REQUEST_CLASS_SUBMIT, 2, &rejection))
    again++;
  g_assert_cmpuint(35 + again, <=, 33 + 2);
  for (guint i = 1; i < 40 && second == 0; i++) {
    open_connection(admission, &other[i], "modest", 3);
    if (!send_request(admission, &other[i], FK_REQUEST_CLASS_SUBMIT, 3, &rejection))
      second = i;
  }
  g_assert_cmpuint(second, >=, 25);
  fk_admission_verify(admission);
  for (guint i = 0; i < 40; i++)
    fk_admission_connection_closed(admission, &other[i]);
  close_all(admission, s, 200);
}

/* The buffered bytes are limited in total, and per address while more than half of the limit is in use. A
 * heartbeat may use more of the limit than a submission. */
static void test_memory(void) {
  FkAdmissionLimits l = small_limits();
  FkAdmission *admission = fk_admission_new(&l);
  FkConnectionSlot a = {0}, b = {0}, c = {0};
  FkRejection rejection;
  open_connection(admission, &a, "a", 0);
  open_connection(admission, &b, "b", 0);
  open_connection(admission, &c, "c", 0);
  fk_admission_begin_stage(admission, &a, FK_STAGE_HEAD, 0);
  g_assert_true(fk_admission_admit_request(admission, &a, FK_REQUEST_CLASS_SUBMIT, 0, &rejection));
  fk_admission_begin_stage(admission, &a, FK_STAGE_BODY, 0);
  g_assert_true(fk_admission_set_buffered(admission, &a, 3000, &rejection));
  fk_admission_begin_stage(admission, &b, FK_STAGE_HEAD, 0);
  g_assert_true(fk_admission_admit_request(admission, &b, FK_REQUEST_CLASS_HEARTBEAT, 0, &rejection));
  fk_admission_begin_stage(admission, &b, FK_STAGE_BODY, 0);
  g_assert_true(fk_admission_set_buffered(admission, &b, 5000, &rejection));
  /* 9,000 bytes in total: more than the 6,500 that submissions may use */
  g_assert_false(fk_admission_set_buffered(admission, &a, 4000, &rejection));
  g_assert_cmpuint(rejection.status, ==, 503);
  fk_admission_reject(admission, &a, FK_REJECTION_MEMORY, 0);
  g_assert_cmpuint(fk_admission_buffered_bytes(admission), ==, 5000);
  g_assert_true(fk_admission_set_buffered(admission, &b, 9900, &rejection));
  fk_admission_begin_stage(admission, &c, FK_STAGE_HEAD, 0);
  g_assert_false(fk_admission_set_buffered(admission, &c, 50, &rejection));
  /* a request in its handler is never rejected */
  fk_admission_request_complete(admission, &b, 0);
  g_assert_true(fk_admission_set_buffered(admission, &b, 20000, &rejection));
  fk_admission_connection_closed(admission, &a);
  fk_admission_connection_closed(admission, &b);
  g_assert_cmpuint(fk_admission_buffered_bytes(admission), ==, 50);
  close_all(admission, &c, 1);
}

/* Random connections from a few addresses. Counts always equal the sums over the connections. After all
 * evictions, connections of workers and health checks are within their limits. Client connections are within
 * their limit, or no more than the requests in progress. An evicted client is of an address with the most
 * client connections, among those with an evictable one. A health check is never rejected. */
static void test_random_connections(void) {
  enum { N = 60, STEPS = 40000 };
  for (guint32 seed = 1; seed <= 4; seed++) {
    g_autoptr(GRand) r = g_rand_new_with_seed(seed);
    FkAdmissionLimits l = small_limits();
    FkAdmission *admission = fk_admission_new(&l);
    FkConnectionSlot s[N] = {{0}};
    gint64 t = 0;
    for (guint i = 0; i < STEPS; i++) {
      FkConnectionSlot *x = &s[g_rand_int_range(r, 0, N)], *out;
      FkRejection rejection;
      t += g_rand_int_range(r, 0, US_PER_S / 10);
      gboolean closes = g_rand_int_range(r, 0, 8) == 0;
      if (x->stage == FK_STAGE_UNTRACKED) {
        g_autofree char *from = g_strdup_printf("%d", (int)(5 * g_rand_double(r) * g_rand_double(r)));
        fk_admission_connection_opened(
            admission, x, from,
            g_rand_int_range(r, 0, 6) ? FK_CONNECTION_CLASS_CLIENT : FK_CONNECTION_CLASS_PEER, t);
      } else if (closes) {
        fk_admission_connection_closed(admission, x);
      } else if (x->stage == FK_STAGE_CONNECTED || x->stage == FK_STAGE_IDLE) {
        fk_admission_begin_stage(admission, x, FK_STAGE_HEAD, t);
      } else if (x->stage == FK_STAGE_HEAD) {
        FkRequestClass request_class = x->connection_class == FK_CONNECTION_CLASS_PEER
                                           ? FK_REQUEST_CLASS_PEER
                                           : g_rand_int_range(r, 0, FK_REQUEST_CLASSES);
        gboolean in = fk_admission_admit_request(admission, x, request_class, t, &rejection);
        g_assert_true(in || (request_class != FK_REQUEST_CLASS_HEALTH && rejection.status == 503 &&
                             x->stage == FK_STAGE_LINGERING));
        if (in)
          fk_admission_begin_stage(admission, x, FK_STAGE_BODY, t);
      } else if (x->stage == FK_STAGE_BODY) {
        if (fk_admission_set_buffered(admission, x, (gsize)g_rand_int_range(r, 0, 3000), &rejection))
          fk_admission_request_complete(admission, x, t);
        else
          fk_admission_reject(admission, x, FK_REJECTION_MEMORY, t);
      } else if (x->stage == FK_STAGE_HANDLING || x->stage == FK_STAGE_SENDING) {
        fk_admission_response_written(admission, x, g_rand_boolean(r), t);
        fk_admission_set_buffered(admission, x, x->stage == FK_STAGE_IDLE ? 0 : 100, &rejection);
      }
      guint64 evictions_before = fk_admission_rejections(admission, FK_REJECTION_EVICTED);
      guint counts[5] = {0};
      gboolean evictable[5] = {0};
      FkAddressUsage *addresses[5] = {0};
      for (guint k = 0; k < N; k++)
        for (guint p = 0; p < 5 && s[k].stage != FK_STAGE_UNTRACKED; p++)
          if (!addresses[p] || addresses[p] == s[k].address) {
            addresses[p] = s[k].address;
            gboolean is_client =
                s[k].connection_class == FK_CONNECTION_CLASS_CLIENT && s[k].stage != FK_STAGE_LINGERING;
            counts[p] += is_client;
            evictable[p] |= is_client && s[k].stage != FK_STAGE_HANDLING && s[k].stage != FK_STAGE_SENDING;
            break;
          }
      guint over = fk_admission_connections(admission, FK_CONNECTION_CLASS_CLIENT) >
                   l.connections[FK_CONNECTION_CLASS_CLIENT];
      for (guint n = 0; (out = fk_admission_next_eviction(admission, t, &rejection)); n++)
        if (n == 0 && over && fk_admission_rejections(admission, FK_REJECTION_EVICTED) > evictions_before &&
            fk_admission_connections(admission, FK_CONNECTION_CLASS_CLIENT) ==
                l.connections[FK_CONNECTION_CLASS_CLIENT]) {
          guint was = 0, most = 0;
          for (guint p = 0; p < 5; p++) {
            most = evictable[p] ? MAX(most, counts[p]) : most;
            if (out->address ? addresses[p] == out->address : FALSE)
              was = counts[p];
          }
          g_assert_true(!out->address || was == most);
        }
      fk_admission_verify(admission);
      guint in_progress = fk_admission_requests(admission);
      g_assert_cmpuint(fk_admission_connections(admission, FK_CONNECTION_CLASS_CLIENT), <=,
                       MAX(l.connections[FK_CONNECTION_CLASS_CLIENT], in_progress));
      g_assert_cmpuint(fk_admission_connections(admission, FK_CONNECTION_CLASS_HEALTH_CHECK), <=,
                       l.connections[FK_CONNECTION_CLASS_HEALTH_CHECK]);
      g_assert_cmpuint(fk_admission_connections(admission, FK_CONNECTION_CLASS_WORKER), <=,
                       l.connections[FK_CONNECTION_CLASS_WORKER]);
    }
    close_all(admission, s, N);
  }
}

/* ------------------------------------------------------------------ requests */

static const char *fill_between(const char *before, char c, gsize n, const char *after, GString *into) {
  g_string_assign(into, before);
  gsize at = into->len;
  g_string_set_size(into, at + n);
  memset(into->str + at, c, n);
  return g_string_append(into, after)->str;
}

typedef struct {
  FkParserStage stage;
  guint status;
  gsize used, body;
} ParseResult;

static ParseResult read_in_pieces(const FkAdmissionLimits *l, const char *text, gsize len, gsize piece) {
  FkRequestParser r;
  gsize used = 0;
  fk_request_parser_init(&r);
  while (used < len && r.stage < FK_PARSER_STAGE_COMPLETE) {
    gsize n = fk_request_parser_feed(&r, l, text + used, MIN(piece, len - used));
    used += n;
    if (!n)
      break;
  }
  return (ParseResult){r.stage, r.status, used, r.body_bytes};
}

static void test_request_limits(void) {
  const FkAdmissionResources resources = {5000, 264, 4};
  const FkAdmissionOptions none = {0};
  const FkAdmissionLimits l = fk_admission_limits_derive(&resources, &none);
  g_autoptr(GString) a = g_string_new(""), b = g_string_new(""), c = g_string_new(""), d = g_string_new(""),
                     e = g_string_new("");
  g_string_assign(e, "POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (guint i = 0; i < 40000; i++)
    g_string_append(e, "1\r\nx\r\n");
  const struct {
    const char *text;
    FkParserStage stage;
    guint status;
    gsize left; /* bytes after the request; G_MAXSIZE if not checked */
  } cases[] = {
      {"GET /up HTTP/1.1\r\nHost: x\r\n\r\n", FK_PARSER_STAGE_COMPLETE, 0, 0},
      {"GET /up HTTP/1.0\r\n\r\n", FK_PARSER_STAGE_COMPLETE, 0, 0},
      {"GET /up HTTP/1.1\r\nHost: x\r\n\r\nGET /up", FK_PARSER_STAGE_COMPLETE, 0, 7},
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", FK_PARSER_STAGE_COMPLETE, 0, 0},
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", FK_PARSER_STAGE_BODY, 0, 0},
      {"POST /hello HTTP/1.1\r\nContent-Length: 0\r\n\r\n", FK_PARSER_STAGE_COMPLETE, 0, 0},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
       FK_PARSER_STAGE_COMPLETE, 0, 0},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: x\r\n\r\nGET",
       FK_PARSER_STAGE_COMPLETE, 0, 3},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", FK_PARSER_STAGE_BODY, 0,
       0},
      {"GET /up HTTP/1.1\r\nHos", FK_PARSER_STAGE_HEAD, 0, 0},
      /* over a limit, declared or not */
      {"POST /hello HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", FK_PARSER_STAGE_FAILED, 413, 0},
      {"POST /hello HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", FK_PARSER_STAGE_FAILED, 413, 0},
      {fill_between("POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n", 'x', 0x11000,
                    "\r\n0\r\n\r\n", a),
       FK_PARSER_STAGE_FAILED, 413, G_MAXSIZE},
      {e->str, FK_PARSER_STAGE_FAILED, 413, G_MAXSIZE},
      {fill_between("GET /up HTTP/1.1\r\nA: ", 'x', 20000, "", b), FK_PARSER_STAGE_FAILED, 431, G_MAXSIZE},
      {fill_between("GET /", 'x', 3000, " HTTP/1.1\r\n\r\n", c), FK_PARSER_STAGE_FAILED, 414, G_MAXSIZE},
      {fill_between("POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;", 'x', 200000, "", d),
       FK_PARSER_STAGE_FAILED, 413, G_MAXSIZE},
      /* ambiguous, malformed, or not plain HTTP/1 */
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
       FK_PARSER_STAGE_FAILED, 400, G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", FK_PARSER_STAGE_FAILED, 400,
       G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nContent-Length: -5\r\n\r\n", FK_PARSER_STAGE_FAILED, 400, G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nContent-Length: 99999999999999999999999999\r\n\r\n", FK_PARSER_STAGE_FAILED,
       400, G_MAXSIZE},
      {"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", FK_PARSER_STAGE_FAILED, 400,
       G_MAXSIZE},
      {"GET /up HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n", FK_PARSER_STAGE_FAILED, 400,
       G_MAXSIZE},
      {"CONNECT a:80 HTTP/1.1\r\n\r\n", FK_PARSER_STAGE_FAILED, 400, G_MAXSIZE},
      {"\x16\x03\x01\x02", FK_PARSER_STAGE_FAILED, 400, G_MAXSIZE}, /* TLS */
      {"\r\n\r\nwhat", FK_PARSER_STAGE_FAILED, 400, G_MAXSIZE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    gsize len = strlen(cases[i].text);
    ParseResult whole = read_in_pieces(&l, cases[i].text, len, len);
    if (whole.stage != cases[i].stage || whole.status != cases[i].status)
      g_error("case %u: stage %d, status %u", i, whole.stage, whole.status);
    if (cases[i].left != G_MAXSIZE)
      g_assert_cmpuint(len - whole.used, ==, cases[i].left);
    /* Splitting the bytes does not change the result. The parser consumes at most one piece beyond
     * `wire_bytes` and `body_bytes`. */
    static const gsize pieces[] = {1, 2, 3, 7, 100, 8192};
    for (guint k = 0; k < G_N_ELEMENTS(pieces); k++) {
      ParseResult cut = read_in_pieces(&l, cases[i].text, len, pieces[k]);
      g_assert_cmpint(cut.stage, ==, whole.stage);
      g_assert_cmpuint(cut.status, ==, whole.status);
      g_assert_cmpuint(cut.used, <=, l.wire_bytes + pieces[k]);
      g_assert_cmpuint(cut.body, <=, l.body_bytes + pieces[k]);
    }
  }
  FkRequestParser r;
  const char *expects = "POST /submissions HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
  fk_request_parser_init(&r);
  fk_request_parser_feed(&r, &l, expects, strlen(expects));
  g_assert_true(r.expects_continue && r.stage == FK_PARSER_STAGE_BODY);
  g_assert_cmpstr(r.path, ==, "/submissions");
  g_assert_cmpstr(fk_request_parser_method(&r), ==, "POST");
}

static void test_routes(void) {
  static const struct {
    const char *method, *path;
    FkRoute route;
    const char *job;
  } cases[] = {{"GET", "/up", FK_ROUTE_HEALTH, NULL},
               {"GET", "/up?x=1", FK_ROUTE_HEALTH, NULL},
               {"POST", "/up", FK_ROUTE_WRONG_METHOD, NULL},
               {"POST", "/hello", FK_ROUTE_HEARTBEAT, NULL},
               {"GET", "/hello", FK_ROUTE_WRONG_METHOD, NULL},
               {"POST", "/submissions", FK_ROUTE_SUBMIT, NULL},
               {"GET", "/submissions", FK_ROUTE_WRONG_METHOD, NULL},
               {"GET", "/submissions/run-1", FK_ROUTE_POLL, "run-1"},
               {"GET", "/submissions/", FK_ROUTE_POLL, ""},
               {"POST", "/submissions/run-1", FK_ROUTE_WRONG_METHOD, "run-1"},
               {"POST", "/submissions/run-1/withdraw", FK_ROUTE_CANCEL, "run-1"},
               {"GET", "/submissions/run-1/withdraw", FK_ROUTE_WRONG_METHOD, "run-1"},
               {"POST", "/submissions/run-1/withdrawn", FK_ROUTE_NONE, NULL},
               {"POST", "/submissions/run-1/withdraw/", FK_ROUTE_NONE, NULL},
               {"GET", "/submissionsx", FK_ROUTE_NONE, NULL},
               {"GET", "", FK_ROUTE_NONE, NULL},
               {"GET", "*", FK_ROUTE_NONE, NULL}};
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    const char *job = NULL;
    gsize len = 0;
    g_assert_cmpint(fk_route_match(cases[i].method, cases[i].path, &job, &len), ==, cases[i].route);
    g_autofree char *name = job ? g_strndup(job, len) : NULL;
    g_assert_cmpstr(name, ==, cases[i].job);
  }
}

/* ------------------------------------------------------------------ health of dependencies */

static void test_dependency_health(void) {
  static const struct {
    double at_s;
    const char *failure; /* NULL if a call is answered; "" if none is made */
    const char *message; /* a part of the message; NULL if there is none */
    gboolean is_warning;
  } steps[] = {
      {0.1, "no answer", " never_reached=true ", TRUE}, /* never reached: reported at the first failure */
      {1, "no answer", NULL, FALSE},                    /* not repeated within the window */
      {10.2, "", " unreachable_s=10.1 ", TRUE},         /* repeated after the window */
      {11, NULL, "recovered name=\"the store\" outage_s=10.9", FALSE},
      {12, NULL, NULL, FALSE},
      {20, "it answers 503", NULL, FALSE}, /* one or two lost calls are not reported */
      {21, "no answer", NULL, FALSE},
      {22, NULL, NULL, FALSE},
      {30, "no answer", NULL, FALSE},
      {31, "no answer", NULL, FALSE},
      {32, "no answer", "failure=\"no answer\" unreachable_s=2.0 impact=\"nothing goes\"", TRUE},
      {33, NULL, "outage_s=3.0", FALSE},
  };
  FkDependencyHealth *health = fk_dependency_health_new(10 * US_PER_S);
  guint store = fk_dependency_health_add(health, "the store", "nothing goes"),
        healthy = fk_dependency_health_add(health, "the cloud", "no machines");
  for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
    gint64 t = (gint64)(steps[i].at_s * US_PER_S);
    gboolean is_warning = FALSE;
    fk_dependency_health_record(health, healthy, NULL, t);
    if (!steps[i].failure || *steps[i].failure)
      fk_dependency_health_record(health, store, steps[i].failure, t);
    g_autofree char *message = fk_dependency_health_next_message(health, t, &is_warning);
    if (!steps[i].message != !message || (message && !strstr(message, steps[i].message)))
      g_error("step %u: %s", i, message ? message : "nothing");
    g_assert_cmpint(is_warning, ==, steps[i].is_warning);
    g_assert_null(fk_dependency_health_next_message(health, t, &is_warning));
  }
  fk_dependency_health_free(health);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/admission/limits", test_limits);
  g_test_add_func("/admission/worker_connections", test_worker_connections);
  g_test_add_func("/admission/timeouts", test_timeouts);
  g_test_add_func("/admission/eviction", test_eviction);
  g_test_add_func("/admission/shares", test_shares);
  g_test_add_func("/admission/priority_order", test_priority_order);
  g_test_add_func("/admission/fair_share", test_fair_share);
  g_test_add_func("/admission/memory", test_memory);
  g_test_add_func("/admission/random_connections", test_random_connections);
  g_test_add_func("/admission/request_limits", test_request_limits);
  g_test_add_func("/admission/routes", test_routes);
  g_test_add_func("/admission/dependency_health", test_dependency_health);
  return g_test_run();
}
