/* Tests of the server and the HTTP client on real loopback sockets, in one process. The test's clients run in
 * the same main loop, so that the order of events does not depend on threads. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/soup_listener.h"
#include "wire/route.h"

#define US_PER_S 1000000
#define WAIT_MAX_US (20 * US_PER_S) /* longer than any wait takes; a test that waits this long fails */
#define BIG_RESPONSE_BYTES 60000

/* ------------------------------------------------------------------ the service under test */

typedef struct {
  FkServer *server;
  SoupServer *soup;
  GQueue held; /* SoupServerMessage: submissions whose response is held back */
  guint served, aborted;
  guint16 port;
  GString *order; /* one letter for each request served; NULL if a test does not need it */
} Service;

static void reply(SoupServerMessage *msg, guint status, const char *text) {
  soup_server_message_set_status(msg, status, NULL);
  soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_COPY, text, strlen(text));
}

static void on_request(SoupServer *server, SoupServerMessage *msg, const char *path, GHashTable *query,
                       gpointer data) {
  Service *s = data;
  s->served++;
  if (s->order)
    g_string_append_c(s->order, g_str_equal(path, "/up")            ? 'u'
                                : g_str_equal(path, "/hello")       ? 'h'
                                : g_str_equal(path, "/submissions") ? 's'
                                                                    : 'p');
  if (g_str_equal(path, "/submissions")) {
    soup_server_message_pause(msg);
    g_queue_push_tail(&s->held, g_object_ref(msg));
  } else if (g_str_equal(path, "/submissions/big")) {
    g_autofree char *big = g_strnfill(BIG_RESPONSE_BYTES, 'x');
    reply(msg, 200, big);
  } else if (g_str_equal(path, "/submissions/length")) {
    g_autofree char *n = g_strdup_printf("%d", (int)soup_server_message_get_request_body(msg)->length);
    reply(msg, 200, n);
  } else {
    reply(msg, 200, path);
  }
}

static FkRequestClass classify(const char *method, const char *path) {
  if (g_str_equal(path, "/submissions/length"))
    return FK_REQUEST_CLASS_SUBMIT;
  return fk_route_request_class(fk_route_match(method, path, NULL, NULL));
}

static char *rejection_body(const char *why) { return g_strdup_printf("{\"error\":\"%s\"}", why); }

static guint16 free_port(void) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in a = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t len = sizeof a;
  g_assert_cmpint(bind(fd, (struct sockaddr *)&a, sizeof a), ==, 0);
  getsockname(fd, (struct sockaddr *)&a, &len);
  close(fd);
  return ntohs(a.sin_port);
}

static FkAdmissionLimits limits(void) {
  const FkAdmissionResources resources = {5000, 264, 2};
  const FkAdmissionOptions options = {0};
  return fk_admission_limits_derive(&resources, &options);
}

static Service *open_service(const FkAdmissionLimits *l) {
  Service *s = g_new0(Service, 1);
  s->soup = soup_server_new("server-header", "test", NULL);
  soup_server_add_handler(s->soup, NULL, on_request, s, NULL);
  s->server = fk_server_new(l);
  g_autoptr(GError) error = NULL;
  s->port = free_port();
  g_autofree char *where = g_strdup_printf("127.0.0.1:%u", s->port);
  fk_soup_listener_open(s->server, s->soup, where, FK_CONNECTION_CLASS_CLIENT, classify, rejection_body,
                        &error);
  g_assert_no_error(error);
  return s;
}

static void answer_held(Service *s) {
  SoupServerMessage *msg;
  while ((msg = g_queue_pop_head(&s->held))) {
    reply(msg, 201, "done");
    soup_server_message_unpause(msg);
    g_object_unref(msg);
  }
}

static void run_iteration(void) {
  g_main_context_iteration(NULL, FALSE);
  g_usleep(100);
}

static guint connections(const Service *s) {
  guint n = 0;
  for (guint g = 0; g < FK_CONNECTION_CLASSES; g++)
    n += fk_admission_connections(fk_server_admission(s->server), g);
  return n;
}

/* Waits until the server has noticed that all clients have disconnected, checks that nothing is counted or
 * buffered any more, and frees the service. */
static void close_service(Service *s) {
  answer_held(s);
  gint64 end = g_get_monotonic_time() + WAIT_MAX_US;
  const FkAdmission *g = fk_server_admission(s->server);
  while ((fk_admission_addresses(g) || connections(s)) && g_get_monotonic_time() < end)
    run_iteration();
  g_assert_cmpuint(connections(s), ==, 0);
  g_assert_cmpuint(fk_admission_addresses(g), ==, 0);
  g_assert_cmpuint(fk_admission_requests(g), ==, 0);
  g_assert_cmpuint(fk_admission_buffered_bytes(g), ==, 0);
  fk_admission_verify(g);
  soup_server_disconnect(s->soup);
  g_object_unref(s->soup);
  fk_server_free(s->server);
  g_free(s);
}

/* ------------------------------------------------------------------ clients */

static int open_client_from(const Service *s, const char *from) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  struct sockaddr_in a = {.sin_family = AF_INET}, to = {.sin_family = AF_INET, .sin_port = htons(s->port)};
  inet_pton(AF_INET, from, &a.sin_addr);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  g_assert_cmpint(bind(fd, (struct sockaddr *)&a, sizeof a), ==, 0);
  g_assert_true(connect(fd, (struct sockaddr *)&to, sizeof to) == 0 || errno == EINPROGRESS);
  run_iteration();
  return fd;
}

static int open_client(const Service *s) { return open_client_from(s, "127.0.0.1"); }

/* Sends bytes while the main loop runs. Returns FALSE if the server has closed the connection. */
static gboolean send_bytes(int fd, const char *text, gsize len) {
  gint64 end = g_get_monotonic_time() + WAIT_MAX_US;
  while (len) {
    gssize n = send(fd, text, len, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
      return FALSE;
    if (n > 0) {
      text += n;
      len -= (gsize)n;
    }
    g_assert_cmpint(g_get_monotonic_time(), <, end);
    run_iteration();
  }
  return TRUE;
}

static void send_text(int fd, const char *text) { g_assert_true(send_bytes(fd, text, strlen(text))); }

/* Reads until `n` responses are complete or the connection ends, and returns what was read. Sets `n` to the
 * number of complete responses; "100 Continue" does not count. */
static char *receive(int fd, guint *n) {
  GString *all = g_string_new("");
  gint64 end = g_get_monotonic_time() + WAIT_MAX_US;
  guint wanted = *n;
  gsize at = 0;
  for (*n = 0; *n < wanted;) {
    char buffer[8192];
    gssize got = recv(fd, buffer, sizeof buffer, 0);
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN))
      break;
    if (got > 0)
      g_string_append_len(all, buffer, got);
    const char *head;
    while ((head = strstr(all->str + at, "\r\n\r\n"))) {
      gsize body = 0;
      const char *length = strstr(all->str + at, "Content-Length: ");
      if (length && length < head)
        body = g_ascii_strtoull(length + 16, NULL, 10);
      gsize whole = (gsize)(head - all->str) + 4 + body;
      if (all->len < whole)
        break;
      *n += !g_str_has_prefix(all->str + at, "HTTP/1.1 100");
      at = whole;
    }
    g_assert_cmpint(g_get_monotonic_time(), <, end);
    run_iteration();
  }
  return g_string_free(all, FALSE);
}

static void expect(int fd, const char *start) {
  guint n = 1;
  g_autofree char *text = receive(fd, &n);
  if (!g_str_has_prefix(text, start))
    g_error("expected %s, got: %s", start, text);
}

static void expect_end(int fd) {
  guint n = 1;
  g_autofree char *text = receive(fd, &n);
  g_assert_cmpstr(text, ==, "");
}

#define UP "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
#define HELLO "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
#define SUBMIT "POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"
#define POLL "GET /submissions/a HTTP/1.1\r\nHost: x\r\n\r\n"
#define CHUNKED "POST /submissions/length HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

/* ------------------------------------------------------------------ tests of the server */

/* A request is answered once, however its bytes are split, and the connection stays usable. */
static void test_serves_requests(void) {
  FkAdmissionLimits l = limits();
  Service *s = open_service(&l);
  static const struct {
    const char *text, *start;
  } cases[] = {
      {UP, "HTTP/1.1 200"},
      {HELLO, "HTTP/1.1 200"},
      {CHUNKED "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "HTTP/1.1 200"},
      {"POST /submissions/length HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}",
       "HTTP/1.1 "},
  };
  int persistent = open_client(s);
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    send_text(persistent, cases[i].text);
    expect(persistent, cases[i].start);
    int fd = open_client(s); /* the same request, one byte at a time */
    for (const char *p = cases[i].text; *p; p++)
      g_assert_true(send_bytes(fd, p, 1));
    expect(fd, cases[i].start);
    close(fd);
  }
  /* a client that waits for "100 Continue" before it sends the body */
  send_text(
      persistent,
      "POST /submissions/length HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  char interim[64] = "";
  while (recv(persistent, interim, sizeof interim - 1, 0) <= 0)
    run_iteration();
  g_assert_cmpstr(interim, ==, "HTTP/1.1 100 Continue\r\n\r\n");
  send_text(persistent, "{}");
  expect(persistent, "HTTP/1.1 ");
  /* pipelined requests are answered in order */
  send_text(persistent, CHUNKED "3\r\nabc\r\n0\r\n\r\n" POLL UP);
  guint n = 3;
  g_autofree char *three = receive(persistent, &n);
  g_assert_cmpuint(n, ==, 3);
  g_assert_nonnull(strstr(three, "/submissions/a"));
  g_assert_true(strstr(three, "/up") > strstr(three, "/submissions/a"));
  /* a client that has closed its sending side still gets its response */
  send_text(persistent, SUBMIT);
  shutdown(persistent, SHUT_WR);
  run_iteration();
  run_iteration();
  answer_held(s);
  expect(persistent, "HTTP/1.1 201");
  close(persistent);
  close_service(s);
}

/* Requests over a size limit, and malformed ones: the rejection arrives, and nothing stays buffered. */
static void test_size_limits(void) {
  FkAdmissionLimits l = limits();
  Service *s = open_service(&l);
  static const struct {
    const char *head, *then; /* `then` is repeated until the server closes the connection or 3 MiB are sent */
    const char *start;
  } cases[] = {
      {"POST /submissions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", NULL, "HTTP/1.1 413"},
      {"POST /submissions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "xxxxxxxx", "HTTP/1.1 413"},
      {CHUNKED, "8\r\nxxxxxxxx\r\n", "HTTP/1.1 413"},
      {CHUNKED "8", ";aaaaaaa", "HTTP/1.1 413"},
      {"GET /up HTTP/1.1\r\n", "A: bbbbbbbbbbbbbbbbb\r\n", "HTTP/1.1 431"},
      {"GET /", "aaaaaaaa", "HTTP/1.1 414"},
      {"nonsense\r\n\r\n", NULL, "HTTP/1.1 400"},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    int fd = open_client(s);
    gsize peak_bytes = 0, sent = 0;
    send_text(fd, cases[i].head);
    g_autofree char *piece = NULL;
    if (cases[i].then) {
      GString *many = g_string_new("");
      while (many->len < 4000)
        g_string_append(many, cases[i].then);
      piece = g_string_free(many, FALSE);
      /* 3 MiB: more than every limit on a request, and more than the 1 MiB that a lingering connection may
       * send */
      while (sent < 3 * 1048576 && send_bytes(fd, piece, strlen(piece))) {
        sent += strlen(piece);
        peak_bytes = MAX(peak_bytes, fk_admission_buffered_bytes(fk_server_admission(s->server)));
      }
    }
    g_assert_cmpuint(peak_bytes, <=, l.wire_bytes + 16384);
    g_assert_cmpuint(fk_admission_buffered_bytes(fk_server_admission(s->server)), ==, 0);
    if (sent < 100000) /* after more bytes, the connection may have been reset */
      expect(fd, cases[i].start);
    g_assert_cmpuint(fk_admission_rejections(fk_server_admission(s->server), FK_REJECTION_MALFORMED), ==,
                     i + 1);
    close(fd);
  }
  close_service(s);
}

/* A client that sends its whole request before it reads, as most do, can still read the rejection. If the
 * server closed the connection at once, the connection would be reset. */
static void test_rejection_is_readable(void) {
  FkAdmissionLimits l = limits();
  Service *s = open_service(&l);
  static const char *heads[] = {"POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n",
                                CHUNKED "61a80\r\n"};
  g_autofree char *data = g_strnfill(400000, 'x');
  for (guint i = 0; i < G_N_ELEMENTS(heads); i++) {
    int fd = open_client(s);
    send_text(fd, heads[i]);
    for (guint at = 0; at < 400000; at += 10000)
      g_assert_true(send_bytes(fd, data + at, 10000));
    expect(fd, "HTTP/1.1 413");
    expect_end(fd);
    close(fd);
  }
  close_service(s);
}

/* Each stage of receiving a request has a time limit, and so has an idle connection. */
static void test_slow_senders(void) {
  FkAdmissionLimits l = limits();
  l.first_byte_us = l.head_us = l.body_us = l.idle_us = US_PER_S / 5;
  Service *s = open_service(&l);
  static const struct {
    const char *text, *start; /* `start` is "" if the connection is closed without a response */
  } cases[] = {{"", ""},
               {"GET /u", "HTTP/1.1 408"},
               {"GET /up HTTP/1.1\r\nA: ", "HTTP/1.1 408"},
               {"POST /submissions HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 408"},
               {CHUNKED "5\r\nabc", "HTTP/1.1 408"}};
  int fds[G_N_ELEMENTS(cases)];
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    fds[i] = open_client(s);
    send_text(fds[i], cases[i].text);
  }
  int idle = open_client(s);
  send_text(idle, UP);
  expect(idle, "HTTP/1.1 200");
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    if (*cases[i].start)
      expect(fds[i], cases[i].start);
    expect_end(fds[i]);
    close(fds[i]);
  }
  expect_end(idle);
  close(idle);
  g_assert_cmpuint(fk_admission_rejections(fk_server_admission(s->server), FK_REJECTION_TIMEOUT), ==,
                   G_N_ELEMENTS(cases) + 1);
  /* sending header fields one by one does not extend the time limit */
  int slow = open_client(s);
  gint64 end = g_get_monotonic_time() + WAIT_MAX_US;
  send_text(slow, "GET /up HTTP/1.1\r\n");
  char c;
  while (recv(slow, &c, 1, MSG_PEEK) < 0 && g_get_monotonic_time() < end) {
    send_bytes(slow, "A: b\r\n", 6);
    g_usleep(20000);
  }
  expect(slow, "HTTP/1.1 408");
  close(slow);
  close_service(s);
}

/* A client that sends requests without end and reads no response is disconnected, and the buffers stay within
 * their limit. */
static void test_slow_readers(void) {
  FkAdmissionLimits l = limits();
  l.send_us = US_PER_S / 2;
  Service *s = open_service(&l);
  int fd = open_client(s), small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  const char *big = "GET /submissions/big HTTP/1.1\r\nHost: x\r\n\r\n";
  gsize peak_bytes = 0;
  gint64 end = g_get_monotonic_time() + WAIT_MAX_US;
  while (!fk_admission_rejections(fk_server_admission(s->server), FK_REJECTION_TIMEOUT) &&
         g_get_monotonic_time() < end) {
    send(fd, big, strlen(big), MSG_NOSIGNAL);
    run_iteration();
    peak_bytes = MAX(peak_bytes, fk_admission_buffered_bytes(fk_server_admission(s->server)));
  }
  g_assert_cmpuint(fk_admission_rejections(fk_server_admission(s->server), FK_REJECTION_TIMEOUT), ==, 1);
  g_assert_cmpuint(peak_bytes, >, 0);
  g_assert_cmpuint(peak_bytes, <=, 65536 + BIG_RESPONSE_BYTES + 16384);
  g_assert_cmpuint(connections(s), ==, 0);
  close(fd);
  close_service(s);
}

/* Silent connections from one address use up the limit of client connections. A health check from that
 * address, and a heartbeat and a poll from other addresses, connect at the first attempt. A connection of
 * another address that was opened before is still served. */
static void test_connection_limit(void) {
  FkAdmissionLimits l = limits();
  l.connections[FK_CONNECTION_CLASS_CLIENT] = 20;
  Service *s = open_service(&l);
  int user = open_client_from(s, "127.0.0.2"), silent[200];
  send_text(user, POLL);
  expect(user, "HTTP/1.1 200");
  for (guint i = 0; i < G_N_ELEMENTS(silent); i++) {
    silent[i] = open_client(s);
    g_assert_cmpuint(fk_admission_connections(fk_server_admission(s->server), FK_CONNECTION_CLASS_CLIENT), <=,
                     20);
    if (i % 20 != 10)
      continue;
    int up = open_client(s), heartbeat = open_client_from(s, "127.0.0.3"),
        new_user = open_client_from(s, "127.0.0.4");
    send_text(up, UP);
    expect(up, "HTTP/1.1 200");
    send_text(heartbeat, HELLO);
    expect(heartbeat, "HTTP/1.1 200");
    send_text(new_user, POLL);
    expect(new_user, "HTTP/1.1 200");
    send_text(user, POLL);
    expect(user, "HTTP/1.1 200");
    close(up);
    close(heartbeat);
    close(new_user);
  }
  g_assert_cmpuint(fk_admission_rejections(fk_server_admission(s->server), FK_REJECTION_EVICTED), >, 150);
  for (guint i = 0; i < G_N_ELEMENTS(silent); i++)
    close(silent[i]);
  close(user);
  close_service(s);
}

/* Submissions from one address reach the limit of requests in progress. Further submissions are rejected at
 * once with a Retry-After header. Health checks, heartbeats, and a poll from another address are still
 * served. */
static void test_request_limit(void) {
  FkAdmissionLimits l = limits();
  l.requests = 20;
  Service *s = open_service(&l);
  int flood[30], admitted = 0;
  guint rejected = 0;
  for (guint i = 0; i < G_N_ELEMENTS(flood); i++) {
    flood[i] = open_client(s);
    send_text(flood[i], SUBMIT);
    for (guint k = 0; k < 5; k++)
      run_iteration();
  }
  admitted = (int)fk_admission_requests(fk_server_admission(s->server));
  g_assert_cmpint(admitted, ==, 13); /* 65% of 20 */
  for (guint i = 13; i < G_N_ELEMENTS(flood); i++) {
    guint n = 1;
    g_autofree char *text = receive(flood[i], &n);
    g_assert_nonnull(strstr(text, "503 "));
    g_assert_nonnull(strstr(text, "Retry-After: 2"));
    rejected++;
  }
  int up = open_client(s), heartbeat = open_client(s), other = open_client_from(s, "127.0.0.2");
  send_text(up, UP);
  expect(up, "HTTP/1.1 200");
  send_text(heartbeat, HELLO);
  expect(heartbeat, "HTTP/1.1 200");
  send_text(other, POLL);
  expect(other, "HTTP/1.1 200");
  /* a client resets its connection: its request stays in progress until the service responds */
  struct linger reset_on_close = {1, 0};
  setsockopt(flood[0], SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close(flood[0]);
  for (guint k = 0; k < 10; k++)
    run_iteration();
  g_assert_cmpuint(fk_admission_requests(fk_server_admission(s->server)), ==, 13);
  answer_held(s);
  for (guint i = 1; i < 13; i++)
    expect(flood[i], "HTTP/1.1 201");
  for (guint k = 0; k < 10; k++)
    run_iteration();
  g_assert_cmpuint(fk_admission_requests(fk_server_admission(s->server)), ==, 0);
  for (guint i = 1; i < G_N_ELEMENTS(flood); i++)
    close(flood[i]);
  close(up);
  close(heartbeat);
  close(other);
  close_service(s);
}

/* Many requests are complete at once. The health check is served first, then the heartbeat, the poll and the
 * submissions, whenever they arrived. Within a class, the order of arrival is kept. */
static void test_order(void) {
  FkAdmissionLimits l = limits();
  Service *s = open_service(&l);
  g_autoptr(GString) order = g_string_new("");
  s->order = order;
  int fds[103];
  static const struct {
    guint at;
    const char *text;
  } others[] = {{90, POLL}, {101, HELLO}, {102, UP}};
  for (guint i = 0; i < G_N_ELEMENTS(fds); i++)
    fds[i] = open_client(s);
  for (guint i = 0; i < G_N_ELEMENTS(fds); i++) { /* without a main loop iteration in between */
    const char *text = SUBMIT;
    for (guint k = 0; k < G_N_ELEMENTS(others); k++)
      text = others[k].at == i ? others[k].text : text;
    g_assert_cmpint(send(fds[i], text, strlen(text), MSG_NOSIGNAL), ==, (gssize)strlen(text));
  }
  while (s->served < G_N_ELEMENTS(fds))
    run_iteration();
  g_autofree char *rest = g_strnfill(100, 's');
  g_autofree char *expected = g_strdup_printf("uhp%s", rest);
  g_assert_cmpstr(order->str, ==, expected);
  answer_held(s);
  for (guint i = 0; i < G_N_ELEMENTS(fds); i++) {
    guint n = 1;
    g_autofree char *text = receive(fds[i], &n);
    g_assert_cmpuint(n, ==, 1);
    close(fds[i]);
  }
  close_service(s);
}

/* Incomplete bodies on many connections: buffers stay within their limit, and a heartbeat is still admitted.
 */
static void test_partial_bodies(void) {
  FkAdmissionLimits l = limits();
  l.buffered_bytes = 400000;
  Service *s = open_service(&l);
  g_autofree char *body = g_strnfill(60000, 'x');
  int fds[40];
  gsize peak_bytes = 0;
  for (guint i = 0; i < G_N_ELEMENTS(fds); i++) {
    fds[i] = open_client(s);
    send_text(fds[i], "POST /submissions HTTP/1.1\r\nContent-Length: 65000\r\n\r\n");
    send_bytes(fds[i], body, 60000);
    peak_bytes = MAX(peak_bytes, fk_admission_buffered_bytes(fk_server_admission(s->server)));
  }
  g_assert_cmpuint(peak_bytes, <=, l.buffered_bytes);
  g_assert_cmpuint(peak_bytes, >, l.buffered_bytes / 2);
  g_assert_cmpuint(fk_admission_rejections(fk_server_admission(s->server), FK_REJECTION_MEMORY), >=, 30);
  int heartbeat = open_client(s);
  send_text(heartbeat, "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n");
  g_assert_true(send_bytes(heartbeat, body, 60000));
  expect(heartbeat, "HTTP/1.1 200");
  close(heartbeat);
  for (guint i = 0; i < G_N_ELEMENTS(fds); i++)
    close(fds[i]);
  close_service(s);
}

/* No file descriptor is free for a new connection. The server logs this once and pauses accepting: retrying
 * without end would only use CPU time. Pending clients are served once a descriptor is free. */
static void test_no_descriptor(void) {
  FkAdmissionLimits l = limits();
  Service *s = open_service(&l);
  int fds[5];
  struct rlimit previous, reduced;
  struct sockaddr_in to = {
      .sin_family = AF_INET, .sin_port = htons(s->port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  for (guint i = 0; i < G_N_ELEMENTS(fds);
       i++) { /* the kernel completes the connections; the server has not accepted them */
    fds[i] = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fds[i], (struct sockaddr *)&to, sizeof to), ==, 0);
    g_assert_cmpint(send(fds[i], UP, strlen(UP), MSG_NOSIGNAL), >, 0);
    fcntl(fds[i], F_SETFL, O_NONBLOCK);
  }
  getrlimit(RLIMIT_NOFILE, &previous);
  reduced = previous;
  reduced.rlim_cur = (rlim_t)fds[4] + 1;
  g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &reduced), ==, 0);
  g_test_expect_message(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "*accept failed*");
  for (guint i = 0; i < 50; i++)
    run_iteration();
  g_test_assert_expected_messages();
  g_assert_cmpuint(s->served, ==, 0);
  setrlimit(RLIMIT_NOFILE, &previous);
  for (guint i = 0; i < G_N_ELEMENTS(fds); i++) {
    expect(fds[i], "HTTP/1.1 200");
    close(fds[i]);
  }
  close_service(s);
}

/* Random garbage, disconnects and resets: nothing leaks, and well-behaved clients are served meanwhile. */
static void test_random_input(void) {
  FkAdmissionLimits l = limits();
  l.connections[FK_CONNECTION_CLASS_CLIENT] = 30;
  l.first_byte_us = l.head_us = l.body_us = US_PER_S / 20;
  Service *s = open_service(&l);
  g_autoptr(GRand) r = g_rand_new_with_seed(42);
  static const char *texts[] = {UP,     HELLO,
                                POLL,   CHUNKED "3\r\nabc\r\n0\r\n\r\n",
                                SUBMIT, "GET /submissions/big HTTP/1.1\r\nHost: x\r\n\r\n"};
  int fds[50] = {0};
  for (guint i = 0; i < 3000; i++) {
    guint k = (guint)g_rand_int_range(r, 0, 50);
    if (!fds[k]) {
      g_autofree char *from = g_strdup_printf("127.0.0.%d", g_rand_int_range(r, 1, 6));
      fds[k] = open_client_from(s, from);
    }
    g_autofree char *text = g_strdup(texts[g_rand_int_range(r, 0, G_N_ELEMENTS(texts))]);
    gsize len = strlen(text);
    if (g_rand_int_range(r, 0, 3) == 0)
      text[g_rand_int_range(r, 0, (gint32)len)] = (char)g_rand_int_range(r, 0, 256);
    gsize from = g_rand_int_range(r, 0, 4) ? 0 : (gsize)g_rand_int_range(r, 0, (gint32)len);
    send(fds[k], text + from, len - from, MSG_NOSIGNAL);
    run_iteration();
    if (g_rand_int_range(r, 0, 4) == 0) {
      struct linger reset_on_close = {1, 0};
      if (g_rand_boolean(r))
        setsockopt(fds[k], SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
      close(fds[k]);
      fds[k] = 0;
    }
    if (i % 20 == 0)
      answer_held(s);
    fk_admission_verify(fk_server_admission(s->server));
    if (i % 500 == 0) {
      int fd = open_client_from(s, "127.0.0.9");
      send_text(fd, UP);
      expect(fd, "HTTP/1.1 200");
      close(fd);
    }
  }
  for (guint k = 0; k < 50; k++)
    if (fds[k])
      close(fds[k]);
  close_service(s);
}

/* The server is freed while connections are in each stage but FK_STAGE_SENDING. */
static void test_free_with_open_streams(void) {
  FkAdmissionLimits l = limits();
  Service *s = open_service(&l);
  static const char *texts[] = {"", "GET /u", "POST /hello HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
                                UP, SUBMIT,   "??\r\n"};
  int fds[G_N_ELEMENTS(texts)];
  for (guint i = 0; i < G_N_ELEMENTS(texts); i++) {
    fds[i] = open_client(s);
    send_text(fds[i], texts[i]);
    for (guint k = 0; k < 5; k++)
      run_iteration();
  }
  fk_server_free(s->server);
  answer_held(s);
  for (guint k = 0; k < 20; k++)
    run_iteration();
  soup_server_disconnect(s->soup);
  g_object_unref(s->soup);
  for (guint i = 0; i < G_N_ELEMENTS(texts); i++)
    close(fds[i]);
  g_free(s);
}

/* ------------------------------------------------------------------ the HTTP client */

typedef struct {
  const char *head, *then; /* the server sends `head` once, and repeats `then` without end; `then` is NULL if
                              nothing follows `head` */
  int fd;
  guint source;
  gsize sent;
} FaultyServer;

static gboolean send_more(gpointer data) {
  FaultyServer *o = data;
  char discarded[4096];
  while (recv(o->fd, discarded, sizeof discarded, MSG_DONTWAIT) > 0)
    ;
  for (guint i = 0; i < 500; i++) {
    gssize n = send(o->fd, o->then, strlen(o->then), MSG_NOSIGNAL | MSG_DONTWAIT);
    o->sent += (gsize)MAX(0, n);
    if (n < 0 && errno != EAGAIN) {
      o->source = 0;
      return G_SOURCE_REMOVE;
    }
  }
  return G_SOURCE_CONTINUE;
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *c, GObject *from, gpointer data) {
  FaultyServer *o = data;
  o->fd = dup(g_socket_get_fd(g_socket_connection_get_socket(c)));
  send(o->fd, o->head, strlen(o->head), MSG_NOSIGNAL);
  if (o->then)
    o->source = g_timeout_add(1, send_more, o);
  return TRUE;
}

#define X64 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

typedef struct {
  gboolean done;
  guint status;
  gsize len;
} CallResult;

static void on_response(gpointer data, guint status, const char *body, gsize len) {
  *(CallResult *)data = (CallResult){TRUE, status, len};
}

/* The length of a response is limited, and so is the time for its head and for its body. A call with a
 * deadline of 30 s does not wait that long for the rest of a response. */
static void test_http_client(void) {
  static const struct {
    const char *head, *then;
    double deadline_s, least_s, most_s;
    guint status;
    gsize len;
  } cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", NULL, 30, 0, 2, 200, 5},
      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", NULL, 30, 0, 2, 200, 0},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", NULL, 30, 0, 2, 200,
       5},
      /* over the size limit: declared, or sent without end */
      {"HTTP/1.1 200 OK\r\nContent-Length: 100001\r\n\r\n", NULL, 30, 0, 2, 0, 0},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "80\r\n" X64 X64 "\r\n", 30, 0, 10, 0, 0},
      {"HTTP/1.1 200 OK\r\n\r\n", "hellohellohellohellohellohello", 30, 0, 10, 0, 0},
      {"HTTP/1.1 200 OK\r\n", "A: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n", 1, 0, 3, 0, 0},
      /* too slow: the head, or the body */
      {"HTTP/1.1 200 OK\r\n", NULL, 1, 0.9, 3, 0, 0},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", NULL, 30, 2.9, 6, 0, 0},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    FaultyServer o = {cases[i].head, cases[i].then, -1, 0, 0};
    g_autoptr(GSocketService) service = g_socket_service_new();
    guint16 port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service), NULL, NULL);
    g_signal_connect(service, "incoming", G_CALLBACK(on_incoming), &o);
    g_autofree char *addr = g_strdup_printf("127.0.0.1:%u", port);
    FkHttpClient *h = fk_http_client_new(4, 4, 10, 100000);
    CallResult c = {0};
    gint64 begun = g_get_monotonic_time();
    /* case 6 sends a head without end ("A: bbb..."): it fails at the deadline, so "response too long" is not
     * logged */
    if (cases[i].status == 0 && i != 6 && (cases[i].then || strstr(cases[i].head, "100001")))
      g_test_expect_message(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "*response too long*bytes_max=100000*");
    fk_http_client_call(h, "GET", addr, "/x", NULL, cases[i].deadline_s, on_response, &c);
    while (!c.done)
      run_iteration();
    double s = (double)(g_get_monotonic_time() - begun) / US_PER_S;
    g_test_message("case %u: %" G_GSIZE_FORMAT " bytes sent, %.2f s", i, o.sent, s);
    g_test_assert_expected_messages();
    if (c.status != cases[i].status || c.len != cases[i].len || s < cases[i].least_s || s > cases[i].most_s)
      g_error("case %u: status %u, %" G_GSIZE_FORMAT " bytes after %.2f s", i, c.status, c.len, s);
    if (o.source)
      g_source_remove(o.source);
    close(o.fd);
    fk_http_client_free(h);
    g_socket_service_stop(service);
    g_socket_listener_close(G_SOCKET_LISTENER(service));
    for (guint k = 0; k < 20; k++)
      run_iteration();
  }
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/http_server/serves_requests", test_serves_requests);
  g_test_add_func("/http_server/size_limits", test_size_limits);
  g_test_add_func("/http_server/rejection_is_readable", test_rejection_is_readable);
  g_test_add_func("/http_server/slow_senders", test_slow_senders);
  g_test_add_func("/http_server/slow_readers", test_slow_readers);
  g_test_add_func("/http_server/connection_limit", test_connection_limit);
  g_test_add_func("/http_server/request_limit", test_request_limit);
  g_test_add_func("/http_server/order", test_order);
  g_test_add_func("/http_server/partial_bodies", test_partial_bodies);
  g_test_add_func("/http_server/no_descriptor", test_no_descriptor);
  g_test_add_func("/http_server/random_input", test_random_input);
  g_test_add_func("/http_server/free_with_open_streams", test_free_with_open_streams);
  g_test_add_func("/http_server/http_client", test_http_client);
  return g_test_run();
}
