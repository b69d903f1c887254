/* Load test of the built service, which runs as a separate process, over loopback sockets: many concurrent
 * clients, and slow and hostile ones.
 *
 *   connection_load BINARY     the measurements that it prints are for docs/operators/limits.md
 *
 * The checks use ratios or what TCP itself reports (no SYN was sent twice), never seconds that depend on the
 * machine. The service's resident memory is compared with the bound that its limits give. */
#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "admission/limits.h"

#define SOCKETS 20000
#define RAM_MB 400
#define WAIT_MAX_S 60.0

typedef struct {
  GSubprocess *process;
  guint16 port;
  int pid;
  char *dir;
} Service;

typedef struct {
  int fd;
  const char *text; /* `len` bytes, sent when the client is connected */
  gsize len, sent, got;
  char start[16]; /* start of the response */
  double begun_s, done_s;
  gsize repeated; /* how many bytes at the end of `text` are sent again and again; 0 if none */
  gboolean never_reads;
  gboolean finished; /* a response was received, or the connection has ended */
} Client;

static gboolean failed;

static void check(gboolean holds, const char *what) {
  printf("  %s  %s\n", holds ? "ok  " : "FAIL", what);
  failed |= !holds;
}

static double now_s(void) { return (double)g_get_monotonic_time() / 1e6; }

/* ------------------------------------------------------------------ the service */

static guint16 free_port(void) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in a = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t len = sizeof a;
  if (bind(fd, (struct sockaddr *)&a, sizeof a) < 0 || getsockname(fd, (struct sockaddr *)&a, &len) < 0)
    g_error("no port");
  close(fd);
  return ntohs(a.sin_port);
}

static const char *settings =
    "{\"node\":\"c-0\",\"site\":\"north\",\"serve_on\":\"127.0.0.1:%u\",\"mesh_addr\":\"127.0.0.1:%u\","
    "\"seeds\":[],"
    "\"outside\":{\"cloud\":\"127.0.0.1:1\",\"state\":\"127.0.0.1:1\"},\"deployment\":{\"initial_size\":1,"
    "\"zones\":[\"north\"],\"teams\":[],\"objectives\":[],"
    "\"workers\":{\"report_s\":3,\"lease_s\":20,\"gang_wait_s\":20,\"gang_peer_s\":4,\"cancel_s\":40},"
    "\"state\":{\"rps\":250,\"write_rps\":60,\"value_kb\":2,\"txn_ops\":32},\"cloud\":{\"rps\":6,\"list_lag_"
    "s\":6},"
    "\"resources\":{\"cpu\":1,\"ram_mb\":%d,\"sockets\":%d},\"clock_off_ms\":1000}}";

static Client send_one(const Service *s, const char *text);

static Service start(const char *binary) {
  Service s = {.port = free_port()};
  g_autoptr(GError) error = NULL;
  s.dir = g_dir_make_tmp("fk-crowd-XXXXXX", &error);
  g_autofree char *file = g_build_filename(s.dir, "settings.json", NULL);
  g_autofree char *text = g_strdup_printf(settings, s.port, free_port(), RAM_MB, SOCKETS);
  if (!s.dir || !g_file_set_contents(file, text, -1, &error))
    g_error("%s", error->message);
  s.process =
      g_subprocess_new(G_SUBPROCESS_FLAGS_STDERR_SILENCE, &error, binary, "serve", "--config", file, NULL);
  if (!s.process)
    g_error("%s", error->message);
  s.pid = atoi(g_subprocess_get_identifier(s.process));
  for (double end = now_s() + WAIT_MAX_S; now_s() < end; g_usleep(20000))
    if (send_one(&s, "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n").got)
      return s;
  g_error("%s doesn't answer", binary);
}

static void stop_service(Service *s) {
  g_autofree char *file = g_build_filename(s->dir, "settings.json", NULL);
  g_subprocess_force_exit(s->process);
  g_subprocess_wait(s->process, NULL, NULL);
  g_object_unref(s->process);
  g_unlink(file);
  g_rmdir(s->dir);
  g_free(s->dir);
}

static double resident_mb(const Service *s) {
  g_autofree char *file = g_strdup_printf("/proc/%d/status", s->pid), *text = NULL;
  if (!g_file_get_contents(file, &text, NULL, NULL))
    g_error("the service is gone");
  const char *at = strstr(text, "VmRSS:");
  return at ? g_ascii_strtod(at + 6, NULL) / 1024 : 0;
}

/* ------------------------------------------------------------------ clients */

static void open_client(const Service *s, Client *c, const char *from) {
  struct sockaddr_in a = {.sin_family = AF_INET}, to = {.sin_family = AF_INET, .sin_port = htons(s->port)};
  int yes = 1;
  c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (c->fd < 0)
    g_error("socket: %s", g_strerror(errno));
  inet_pton(AF_INET, from, &a.sin_addr);
  setsockopt(c->fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes, sizeof yes);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(c->fd, (struct sockaddr *)&a, sizeof a) < 0 ||
      (connect(c->fd, (struct sockaddr *)&to, sizeof to) < 0 && errno != EINPROGRESS))
    g_error("connect: %s", g_strerror(errno));
  c->begun_s = now_s();
}

static void finish(Client *c) {
  if (!c->finished)
    c->done_s = now_s();
  c->finished = TRUE;
}

static void write_some(Client *c) {
  while (c->sent < c->len || c->repeated) {
    gsize at = c->sent < c->len ? c->sent : c->len - c->repeated + (c->sent - c->len) % c->repeated;
    gssize n = send(c->fd, c->text + at, c->len - at, MSG_NOSIGNAL);
    if (n < 0) {
      if (errno != EAGAIN && errno != ENOTCONN)
        finish(c);
      return;
    }
    c->sent += (gsize)n;
  }
}

static void read_some(Client *c) {
  char buffer[4096];
  gssize n;
  while (!c->never_reads && (n = recv(c->fd, buffer, sizeof buffer, 0)) != 0) {
    if (n < 0) {
      if (errno != EAGAIN && errno != ENOTCONN)
        finish(c);
      return;
    }
    if (c->got < sizeof c->start - 1)
      memcpy(c->start + c->got, buffer, MIN((gsize)n, sizeof c->start - 1 - c->got));
    c->got += (gsize)n;
    if (g_strstr_len(buffer, n, "\r\n\r\n"))
      finish(c); /* the responses here are short: the body arrives with the head */
  }
  if (!c->never_reads)
    finish(c);
}

/* Runs the clients until `wanted` of them have finished or `for_s` seconds have passed. Returns how many have
 * finished. */
static guint drive(Client *c, guint n, guint wanted, double for_s) {
  g_autofree struct pollfd *fds = g_new0(struct pollfd, n);
  guint finished = 0;
  for (double end = now_s() + for_s; now_s() < end;) {
    finished = 0;
    for (guint i = 0; i < n; i++) {
      gboolean more = c[i].sent < c[i].len || c[i].repeated;
      fds[i] = (struct pollfd){.fd = c[i].finished ? -1 : c[i].fd,
                               .events = (short)((c[i].never_reads ? 0 : POLLIN) | (more ? POLLOUT : 0))};
      finished += c[i].finished;
    }
    if (finished >= wanted || poll(fds, n, 50) < 0)
      break;
    for (guint i = 0; i < n; i++) {
      if (fds[i].revents & (POLLOUT | POLLERR | POLLHUP))
        write_some(&c[i]);
      if (fds[i].revents & (POLLIN | POLLERR | POLLHUP))
        read_some(&c[i]);
      if (c[i].never_reads && (fds[i].revents & (POLLERR | POLLHUP)))
        finish(&c[i]);
    }
  }
  return finished;
}

static Client send_one_from(const Service *s, const char *text, const char *from) {
  Client c = {.text = text, .len = strlen(text)};
  open_client(s, &c, from);
  drive(&c, 1, 1, WAIT_MAX_S);
  close(c.fd);
  return c;
}

static Client send_one(const Service *s, const char *text) { return send_one_from(s, text, "127.0.0.1"); }

static void close_all(Client *c, guint n) {
  for (guint i = 0; i < n; i++)
    close(c[i].fd);
}

/* ------------------------------------------------------------------ concurrent clients */

#define UP "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
#define HEARTBEAT                                                                                            \
  "POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 138\r\n\r\n"                                           \
  "{\"knotter\":\"i-000001\",\"address\":\"10.0.0.1:9000\",\"build\":\"g8\",\"yard\":\"north\",\"loaners\":" \
  "false,"                                                                                                   \
  "\"shift\":1,\"tally\":1,\"baton\":0,\"recall_s\":null,\"strands\":[]}"

static double measure_sequential(const Service *s, guint n, double *worst) {
  double begun = now_s();
  *worst = 0;
  for (guint i = 0; i < n; i++) {
    Client c = send_one(s, UP);
    *worst = MAX(*worst, c.done_s - c.begun_s);
  }
  return (now_s() - begun) / n;
}

static guint syn_retransmitted(const Client *c) {
  struct tcp_info info;
  socklen_t len = sizeof info;
  if (getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
    return 0;
  return info.tcpi_total_retrans;
}

static double measure_concurrent(const Service *s, guint n, double alone_s) {
  g_autofree Client *c = g_new0(Client, n);
  g_autofree double *took = g_new0(double, n);
  guint retransmitted = 0;
  double begun = now_s();
  for (guint i = 0; i < n; i++) {
    c[i].text = UP;
    c[i].len = strlen(UP);
    open_client(s, &c[i], "127.0.0.1");
  }
  guint answered = 0;
  drive(c, n, n, WAIT_MAX_S);
  double all = now_s() - begun;
  for (guint i = 0; i < n; i++) {
    answered += g_str_has_prefix(c[i].start, "HTTP/1.1 ");
    retransmitted += syn_retransmitted(&c[i]);
    took[i] = (c[i].finished ? c[i].done_s : now_s()) - c[i].begun_s;
  }
  close_all(c, n);
  gsl_sort(took, 1, n);
  printf("%5u at once: p50 %.4f s, p99 %.4f s, worst %.4f s; %.6f s each, %.2f of one after the other\n", n,
         gsl_stats_quantile_from_sorted_data(took, 1, n, 0.5),
         gsl_stats_quantile_from_sorted_data(took, 1, n, 0.99), took[n - 1], all / n, all / n / alone_s);
  check(answered == n, "all requests were answered");
  check(retransmitted == 0, "no connection attempt was repeated (TCP sent no SYN twice)");
  check(all / n <= 5 * alone_s, "a concurrent request took at most five times as long as a sequential one");
  return all / n;
}

/* Returns by how many MiB the limits allow the service's resident memory to grow. */
static double memory_bound_mb(void) {
  const FkAdmissionResources resources = {SOCKETS, RAM_MB, 0};
  const FkAdmissionOptions none = {0};
  FkAdmissionLimits l = fk_admission_limits_derive(&resources, &none);
  guint connections_max = l.lingering;
  for (guint i = 0; i < FK_CONNECTION_CLASSES; i++)
    connections_max += l.connections[i];
  return ((double)l.buffered_bytes + 10240.0 * connections_max) / 1048576 + 8; /* 8 MiB for the allocator */
}

typedef struct {
  const char *name, *text;
  guint n;
  gsize repeated;
  gboolean never_reads;
  double for_s;
  const char *answer; /* expected start of each response; NULL if not checked */
} Attack;

/* Runs an attack. Meanwhile, sends health checks from the same address, and heartbeats and polls from other
 * addresses. */
static void run_attack(const Service *s, const Attack *a, double before_mb) {
  g_autofree Client *c = g_new0(Client, a->n);
  guint answered = 0, asked = 0, wrong = 0;
  double worst = 0, peak_mb = 0;
  for (guint i = 0; i < a->n; i++) {
    c[i].text = a->text;
    c[i].len = strlen(a->text);
    c[i].repeated = a->repeated;
    c[i].never_reads = a->never_reads;
    open_client(s, &c[i], "127.0.0.1");
    if (i % 256 == 255)
      drive(c, i + 1, i + 1, 0.05);
  }
  static const struct {
    const char *text, *from;
  } others[] = {{UP, "127.0.0.1"},
                {HEARTBEAT, "127.0.0.2"},
                {"GET /submissions/run-000001 HTTP/1.1\r\n\r\n", "127.0.0.3"}};
  for (double end = now_s() + a->for_s; now_s() < end;) {
    drive(c, a->n, a->n + 1, 0.1);
    for (guint k = 0; k < G_N_ELEMENTS(others); k++) {
      Client o = send_one_from(s, others[k].text, others[k].from);
      asked++;
      answered += g_str_has_prefix(o.start, "HTTP/1.1 ");
      worst = MAX(worst, o.done_s - o.begun_s);
    }
    peak_mb = MAX(peak_mb, resident_mb(s));
  }
  gsize sent = 0;
  guint finished = 0;
  for (guint i = 0; i < a->n; i++) {
    sent += c[i].sent;
    finished += c[i].finished;
    wrong += a->answer && c[i].finished && c[i].got && !g_str_has_prefix(c[i].start, a->answer);
  }
  close_all(c, a->n);
  printf("%s: %u connections, %.1f MB sent, %u finished; resident %.1f MB -> %.1f MB; others: worst %.4f s\n",
         a->name, a->n, (double)sent / 1e6, finished, before_mb, peak_mb, worst);
  check(answered == asked, "all health checks, heartbeats and polls were answered");
  check(peak_mb - before_mb <= memory_bound_mb(), "resident memory grew by no more than the limits allow");
  check(wrong == 0, "each response had the expected status");
}

static char *repeat(const char *head, const char *piece, gsize len) {
  GString *s = g_string_new(head);
  while (s->len < len)
    g_string_append(s, piece);
  return g_string_free(s, FALSE);
}

int main(int argc, char **argv) {
  struct rlimit r;
  const char *binary_path = argc > 1 ? argv[1] : NULL;
  if (!binary_path) {
    fprintf(stderr, "usage: connection_load BINARY\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  getrlimit(RLIMIT_NOFILE, &r);
  r.rlim_cur = r.rlim_max;
  setrlimit(RLIMIT_NOFILE, &r);
  Service s = start(binary_path);
  double worst, sequential_s = measure_sequential(&s, 200, &worst);
  printf("one after the other: %.6f s each, worst %.4f s\n", sequential_s, worst);
  static const guint sizes[] = {20, 100, 1000, 4000};
  double each[G_N_ELEMENTS(sizes)] = {0};
  for (guint i = 0; i < G_N_ELEMENTS(sizes); i++)
    each[i] = measure_concurrent(&s, sizes[i], sequential_s);
  check(each[3] <= 3 * each[2], "with four times as many clients, each took at most three times as long");
  g_autofree char *chunks = repeat("POST /submissions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   "8\r\nxxxxxxxx\r\n", 200000),
                  *fields = repeat("GET /up HTTP/1.1\r\n", "A: bbbbbbbbbbbbbbbbbb\r\n", 60000),
                  *half = repeat("POST /submissions HTTP/1.1\r\nContent-Length: 65000\r\n\r\n", "x", 60000),
                  *answers = repeat("", "GET /nothing HTTP/1.1\r\n\r\n", 100000);
  const Attack attacks[] = {
      {"endless chunks", chunks, 50, 13 * 300, FALSE, 2, "HTTP/1.1 413"},
      {"endless head", fields, 50, 23 * 200, FALSE, 2, "HTTP/1.1 431"},
      {"declared body, not sent", "POST /submissions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", 200, 0,
       FALSE, 1, "HTTP/1.1 413"},
      {"incomplete bodies", half, 2000, 0, FALSE, 2, "HTTP/1.1 503"},
      {"incomplete heads", "GET /up HTTP/1.1\r\nA: ", 4000, 0, FALSE, 2, "HTTP/1.1 408"},
      {"endless requests, responses not read", answers, 50, 25 * 200, TRUE, 3, NULL},
      {"more silent connections than the limit", "", 12000, 0, FALSE, 2, NULL},
  };
  for (guint i = 0; i < G_N_ELEMENTS(attacks); i++)
    run_attack(&s, &attacks[i], resident_mb(&s));
  Client c = send_one(&s, UP);
  check(g_str_has_prefix(c.start, "HTTP/1.1 "), "the service still answers afterwards");
  stop_service(&s);
  return failed ? 1 : 0;
}
