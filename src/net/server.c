#include "net/server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/connection.h"

#define READ_BYTES 16384
#define ANSWER_BYTES 65536  /* of an answer, kept before its handler has to wait */
#define THROWN_AWAY 1048576 /* of what comes after a refusal */
#define EVENTS 256
/* How many complete requests of each kind go to their handlers in one turn, the first kinds first. In the
 * usual course that is all of them. After a crash of all, hundreds come at once, and a turn with all of them
 * would be a second or two: health checks and reports that come meanwhile would wait for submissions. Every
 * kind has some, so that none waits for ever. */
static const guint a_turn[FK_ASKS] = {
    [FK_ASK_HEALTH] = G_MAXUINT, [FK_ASK_PEER] = G_MAXUINT, [FK_ASK_REPORT] = 32, [FK_ASK_CANCEL] = 16,
    [FK_ASK_POLL] = 16,          [FK_ASK_SUBMIT] = 16,      [FK_ASK_OTHER] = 8};

#define STALL_US 100000 /* between two tries to accept when there was no descriptor */
#define STALL_SAID_US 10000000

#define CONTINUE "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct {
  FkDoor *door;
  FkDoorKeeper keeper;
  GSocketAddress *address;
  GSocket *socket;
  GPollFD poll;
} Listener;

struct FkConn {
  FkSlot slot; /* first: the gate names a connection by it */
  FkDoor *door;
  Listener *at;
  gint refs;
  int fd; /* -1: closed */
  struct sockaddr_storage from;
  FkReader reader;
  GByteArray *in; /* what has come; NULL: nothing */
  gsize whole;    /* of it belongs to the request that is complete ... */
  gsize taken;    /* ... and was read by the handler */
  gsize fed;      /* went through the reader */
  gsize thrown;
  GByteArray *out; /* what the handler wrote and isn't sent yet; NULL: nothing */
  gsize sent;
  gboolean readable, writable, half, gone; /* half: the other end won't send any more */
  gboolean continued, answering, dirty;
  gboolean raw;            /* its listener's, which it may outlive */
  gboolean released;       /* the request that is complete was given to its handler */
  gboolean served, closed; /* has a stream; the stream was closed */
};

struct FkDoor {
  GSource source; /* what is made by g_source_new() is the source itself */
  FkGate *gate;
  GPollFD epoll;
  GPtrArray *listeners;
  GQueue ready[FK_ASKS]; /* FkConn: a request is complete, by what it asks; each holds a reference */
  GQueue fresh;          /* FkConn: released, and without a stream so far; each holds a reference */
  GPtrArray *dirty;      /* FkConn: to be sent at the end of the turn; each holds a reference */
  GHashTable *conns;     /* FkConn that have a place; each holds a reference */
  gboolean stalled;      /* no descriptor was left for who waits to be accepted */
  gint64 stalled_us, stalled_said_us;
  guint8 scratch[READ_BYTES];
};

static gint64 now_us(void) { return g_get_monotonic_time(); }

FkConn *fk_conn_ref(FkConn *c) {
  c->refs++;
  return c;
}

void fk_conn_unref(FkConn *c) {
  if (--c->refs)
    return;
  if (c->in)
    g_byte_array_unref(c->in);
  if (c->out)
    g_byte_array_unref(c->out);
  g_free(c);
}

/* ------------------------------------------------------------------ leaving */

static void drop_in(FkConn *c) {
  g_clear_pointer(&c->in, g_byte_array_unref);
  c->whole = c->taken = c->fed = 0;
}

static void drop_out(FkConn *c) {
  g_clear_pointer(&c->out, g_byte_array_unref);
  c->sent = 0;
}

/* No longer asked of the kernel while nobody can be accepted: it would answer at once, again and again. */
static void stall(FkDoor *d, gboolean stalled) {
  d->stalled = stalled;
  for (guint i = 0; i < d->listeners->len; i++)
    ((Listener *)d->listeners->pdata[i])->poll.events = stalled ? 0 : G_IO_IN;
}

static void forget(FkConn *c) {
  fk_gate_leave(c->door->gate, &c->slot);
  drop_in(c);
  g_hash_table_remove(c->door->conns, c);
}

/* The socket goes. A request that its handler has keeps its place until its handler lets go of it: what it
 * costs isn't over because nobody waits for the answer. */
static void close_now(FkConn *c) {
  if (c->fd < 0)
    return;
  close(c->fd);
  c->fd = -1;
  c->gone = TRUE;
  drop_out(c);
  if (!c->door) /* the door was freed first */
    return;
  if (c->door->stalled)
    stall(c->door, FALSE);
  if (!c->released || c->closed || c->slot.stage != FK_STAGE_SERVED)
    forget(c);
}

static const char *reason(guint status) {
  switch (status) {
  case 400:
    return "Bad Request";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 414:
    return "URI Too Long";
  case 431:
    return "Request Header Fields Too Large";
  default:
    return "Service Unavailable";
  }
}

/* The final answer, at once. Closing with bytes unread would reset the connection, and the answer with it: so
 * only our side is closed, and what still comes is thrown away until the gate's time for that is over. */
static void refuse(FkConn *c, const FkVerdict *v) {
  g_autofree char *body = c->at->keeper.refusal(v->why);
  g_autofree char *again = v->retry_s ? g_strdup_printf("Retry-After: %u\r\n", v->retry_s) : g_strdup("");
  g_autofree char *answer =
      g_strdup_printf("HTTP/1.1 %u %s\r\nContent-Type: application/json\r\nContent-Length: %" G_GSIZE_FORMAT
                      "\r\n%sConnection: close\r\n\r\n%s",
                      v->status, reason(v->status), strlen(body), again, body);
  drop_in(c);
  c->gone = TRUE; /* as far as a handler is concerned */
  if (send(c->fd, answer, strlen(answer), MSG_NOSIGNAL | MSG_DONTWAIT) < 0 || shutdown(c->fd, SHUT_WR) < 0)
    close_now(c);
}

/* Whoever must go, goes. */
static void settle(FkDoor *d) {
  FkVerdict v;
  FkSlot *s;
  while ((s = fk_gate_next(d->gate, now_us(), &v))) {
    FkConn *c = (FkConn *)s;
    if (s->stage == FK_STAGE_ENDING)
      refuse(c, &v);
    else
      close_now(c);
  }
}

/* ------------------------------------------------------------------ requests */

static gsize held(const FkConn *c) { return (c->in ? c->in->len : 0) + (c->out ? c->out->len : 0); }

static void bad(FkConn *c, FkShut why, const FkVerdict *v) {
  fk_gate_ends(c->door->gate, &c->slot, why, now_us());
  refuse(c, v);
}

static void go_on(FkConn *c) {
  c->continued = TRUE;
  if (send(c->fd, CONTINUE, strlen(CONTINUE), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    close_now(c);
}

/* FALSE: it was refused. */
static gboolean head_complete(FkConn *c) {
  FkVerdict v;
  FkAsk ask = c->at->keeper.ask(fk_reader_method(&c->reader), c->reader.path);
  if (!fk_gate_asks(c->door->gate, &c->slot, ask, now_us(), &v)) {
    refuse(c, &v);
    return FALSE;
  }
  return TRUE;
}

static void request_complete(FkConn *c) {
  c->whole = c->fed;
  c->taken = 0;
  c->answering = c->released = FALSE;
  fk_gate_served(c->door->gate, &c->slot, now_us());
  g_queue_push_tail(&c->door->ready[c->slot.ask], fk_conn_ref(c));
}

static void release(FkDoor *d) {
  for (guint ask = 0; ask < FK_ASKS; ask++) {
    FkConn *c;
    for (guint n = 0; n < a_turn[ask] && (c = g_queue_pop_head(&d->ready[ask])); n++) {
      if (c->slot.stage != FK_STAGE_SERVED || c->released) {
        fk_conn_unref(c); /* gone while it waited */
        continue;
      }
      c->released = TRUE;
      if (c->served) {
        fk_conn_unref(c);
      } else {
        c->served = TRUE;
        g_queue_push_tail(&d->fresh, c);
      }
    }
  }
}

static gboolean any_ready(const FkDoor *d) {
  for (guint ask = 0; ask < FK_ASKS; ask++)
    if (d->ready[ask].length)
      return TRUE;
  return FALSE;
}

/* What has come and was not looked at goes through the reader, up to the end of a request. */
static void feed(FkConn *c) {
  FkDoor *d = c->door;
  FkReadStage before = c->reader.stage;
  if (before == FK_READ_NOTHING)
    fk_gate_begins(d->gate, &c->slot, FK_STAGE_HEAD, now_us());
  c->fed +=
      fk_reader_feed(&c->reader, fk_gate_limits(d->gate), (char *)c->in->data + c->fed, c->in->len - c->fed);
  FkReadStage stage = c->reader.stage;
  FkVerdict v;
  if (stage == FK_READ_BAD) {
    v = (FkVerdict){c->reader.status, 0, c->reader.why};
    bad(c, FK_SHUT_BAD, &v);
    return;
  }
  if (stage >= FK_READ_BODY && before < FK_READ_BODY) {
    if (!head_complete(c))
      return;
    fk_gate_begins(d->gate, &c->slot, FK_STAGE_BODY, now_us());
  }
  if (!fk_gate_holds(d->gate, &c->slot, held(c), &v)) {
    bad(c, FK_SHUT_MEMORY, &v);
    return;
  }
  if (stage == FK_READ_ALL)
    request_complete(c);
  else if (stage == FK_READ_BODY && c->reader.expects && !c->continued)
    go_on(c);
}

static gboolean wants(const FkConn *c) {
  return c->fd >= 0 && c->slot.stage != FK_STAGE_SERVED && c->slot.stage != FK_STAGE_SEND;
}

static void take(FkConn *c, const guint8 *data, gsize len) {
  if (c->slot.stage == FK_STAGE_ENDING) {
    c->thrown += len;
    if (c->thrown > THROWN_AWAY)
      close_now(c);
    return;
  }
  if (!c->in)
    c->in = g_byte_array_new();
  g_byte_array_append(c->in, data, (guint)len);
  feed(c);
}

/* Reads what has come, as far as a request wants it. What comes while one is under way stays with the kernel.
 */
static void pump(FkConn *c) {
  if (c->raw) {
    if (c->readable && c->slot.stage == FK_STAGE_FRESH)
      request_complete(c); /* for as long as the connection lasts */
    return;
  }
  while (c->readable && wants(c)) {
    gssize n = recv(c->fd, c->door->scratch, READ_BYTES, 0);
    if (n > 0) {
      /* less than there was room for: all that there is, and an edge tells of more */
      c->readable = n == READ_BYTES || c->half;
      take(c, c->door->scratch, (gsize)n);
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      c->readable = errno == EINTR;
    } else {
      c->readable = FALSE;
      c->half = TRUE;
      close_now(c); /* nothing is under way here, see wants(): nobody waits for an answer */
    }
  }
}

/* ------------------------------------------------------------------ answers */

/* TRUE when all has been sent. */
static gboolean flush(FkConn *c) {
  while (c->out && c->fd >= 0 && c->writable) {
    gssize n = send(c->fd, c->out->data + c->sent, c->out->len - c->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) {
      c->sent += (gsize)n;
      if (c->sent == c->out->len)
        drop_out(c);
    } else if (errno == EAGAIN) {
      c->writable = FALSE;
    } else if (errno != EINTR) {
      close_now(c);
    }
  }
  return !c->out;
}

/* The handler has written all of an answer. */
static void answered(FkConn *c) {
  FkVerdict v;
  if (c->fd < 0)
    return;
  gboolean all = flush(c);
  if (c->fd < 0 || !c->door)
    return;
  if (all) { /* what is left of `in` is the next request's */
    if (c->in)
      g_byte_array_remove_range(c->in, 0, (guint)c->whole);
    c->whole = c->taken = c->fed = 0;
    c->continued = c->answering = c->released = FALSE;
    fk_reader_init(&c->reader);
    if (c->in && !c->in->len)
      drop_in(c);
  }
  fk_gate_answered(c->door->gate, &c->slot, all, now_us());
  fk_gate_holds(c->door->gate, &c->slot, held(c), &v);
  if (!all)
    return;
  if (c->closed) {
    /* what it still sends would make a reset of the close */
    if (c->in || (c->readable && !c->half)) {
      fk_gate_ends(c->door->gate, &c->slot, FK_SHUT_DONE, now_us());
      drop_in(c);
      if (shutdown(c->fd, SHUT_WR) < 0)
        close_now(c);
      else
        pump(c);
    } else {
      close_now(c);
    }
    return;
  }
  if (c->in)
    feed(c);
  pump(c);
}

/* ------------------------------------------------------------------ the handler's side */

gboolean fk_conn_can_read(const FkConn *c) {
  return c->gone || (c->released && (c->raw ? c->readable : c->taken < c->whole));
}

gboolean fk_conn_can_write(const FkConn *c) {
  return c->fd < 0 || c->gone || !c->out || c->out->len - c->sent < ANSWER_BYTES;
}

/* A handler that wants to read after its answer has finished with the request. */
void fk_conn_wants(FkConn *c) {
  if (!c->raw && c->taken == c->whole && c->answering && c->slot.stage == FK_STAGE_SERVED)
    answered(c);
}

static gssize read_raw(FkConn *c, void *to, gsize len) {
  if (c->gone)
    return 0;
  gssize n = c->readable ? recv(c->fd, to, len, 0) : -1;
  if (n < 0 && c->readable && errno != EAGAIN && errno != EINTR)
    n = 0;
  c->readable = n > 0 && ((gsize)n == len || c->half);
  return n < 0 ? FK_CONN_LATER : n;
}

gssize fk_conn_read(FkConn *c, void *to, gsize len) {
  if (c->raw)
    return read_raw(c, to, len);
  fk_conn_wants(c);
  if (c->released && c->taken < c->whole) {
    gsize n = MIN(len, c->whole - c->taken);
    memcpy(to, c->in->data + c->taken, n);
    c->taken += n;
    return (gssize)n;
  }
  /* one that wants more of a request that is complete reads another request than we did: no good can come
   * of it */
  if (c->gone || (c->released && !c->answering))
    return 0;
  return FK_CONN_LATER;
}

gssize fk_conn_write(FkConn *c, const void *from, gsize len) {
  if (c->fd < 0 || c->gone)
    return FK_CONN_GONE;
  c->answering = TRUE;
  if (c->out && c->out->len - c->sent >= ANSWER_BYTES && !flush(c))
    return c->fd < 0 ? FK_CONN_GONE : FK_CONN_LATER;
  if (!c->out)
    c->out = g_byte_array_new();
  len = MIN(len, ANSWER_BYTES);
  g_byte_array_append(c->out, from, (guint)len);
  if (!c->dirty && c->door) {
    c->dirty = TRUE;
    g_ptr_array_add(c->door->dirty, fk_conn_ref(c));
  }
  return (gssize)len;
}

void fk_conn_closed(FkConn *c) {
  if (c->closed)
    return;
  c->closed = TRUE;
  if (!c->door)
    return;
  if (c->slot.stage == FK_STAGE_ENDING)
    return; /* refused: it goes when the gate says so */
  if (c->fd < 0) {
    if (c->slot.stage != FK_STAGE_OUT)
      forget(c);
  } else if (c->slot.stage == FK_STAGE_SERVED) {
    answered(c);
  } else if (c->slot.stage != FK_STAGE_SEND) {
    close_now(c);
  }
}

/* ------------------------------------------------------------------ the door */

static void accepted(Listener *l, int fd, const struct sockaddr_storage *from, socklen_t from_len) {
  FkDoor *d = l->door;
  FkConn *c = g_new0(FkConn, 1);
  c->refs = 1;
  c->door = d;
  c->at = l;
  c->fd = fd;
  c->writable = TRUE;
  c->raw = l->keeper.raw;
  c->from = *from;
  fk_reader_init(&c->reader);
  struct epoll_event e = {.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.ptr = c};
  if (epoll_ctl(d->epoll.fd, EPOLL_CTL_ADD, fd, &e) < 0) {
    close(fd);
    fk_conn_unref(c);
    return;
  }
  /* An answer to a request is one write. Other protocols have small frames that others wait for. */
  int yes = 1;
  if (l->keeper.raw)
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  g_hash_table_add(d->conns, c);
  char name[INET6_ADDRSTRLEN] = "";
  g_autoptr(GSocketAddress) address = g_socket_address_new_from_native((gpointer)from, from_len);
  if (G_IS_INET_SOCKET_ADDRESS(address)) {
    g_autofree char *text =
        g_inet_address_to_string(g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
    g_strlcpy(name, text, sizeof name);
  }
  fk_gate_enter(d->gate, &c->slot, name, l->keeper.guest, now_us());
  settle(d);
}

static void accept_all(Listener *l) {
  for (;;) {
    struct sockaddr_storage from;
    socklen_t len = sizeof from;
    int fd = accept4(l->poll.fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      accepted(l, fd, &from, len);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN) {
      /* No descriptor is left although the limits leave some: they are looser than the system's. Who waits is
       * taken in when one is closed, or a little later; asking on and on would take the processor. */
      FkDoor *d = l->door;
      gint64 t = now_us();
      if (!d->stalled_said_us || t >= d->stalled_said_us + STALL_SAID_US) {
        g_warning("door: can't accept: %s", g_strerror(errno));
        d->stalled_said_us = t;
      }
      d->stalled_us = t;
      stall(d, TRUE);
    }
    return;
  }
}

static void collect(FkDoor *d) {
  struct epoll_event events[EVENTS];
  int n;
  do {
    n = epoll_wait(d->epoll.fd, events, EVENTS, 0);
    for (int i = 0; i < n; i++) {
      FkConn *c = events[i].data.ptr;
      guint32 e = events[i].events;
      c->half |= (e & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
      c->readable |= (e & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
      c->writable |= (e & EPOLLOUT) != 0;
      if (e & (EPOLLHUP | EPOLLERR)) {
        close_now(c); /* both ways are shut: no answer can reach it */
        continue;
      }
      fk_conn_ref(c);
      if (c->slot.stage == FK_STAGE_SEND && c->writable)
        answered(c);
      else if (c->slot.stage == FK_STAGE_SERVED && c->writable)
        flush(c);
      pump(c);
      fk_conn_unref(c);
    }
  } while (n == EVENTS);
  settle(d);
}

static void send_dirty(FkDoor *d) {
  for (guint i = 0; i < d->dirty->len; i++) {
    FkConn *c = d->dirty->pdata[i];
    c->dirty = FALSE;
    FkVerdict v;
    if (c->out && !flush(c) && c->fd >= 0 && c->slot.stage == FK_STAGE_SERVED)
      fk_gate_holds(d->gate, &c->slot, held(c), &v);
    fk_conn_unref(c);
  }
  g_ptr_array_set_size(d->dirty, 0);
}

static gboolean door_prepare(GSource *source, gint *timeout) {
  FkDoor *d = (FkDoor *)source;
  send_dirty(d);
  if (any_ready(d)) {
    *timeout = 0; /* but first look who else has come */
    return FALSE;
  }
  gint64 wakes = fk_gate_wakes(d->gate);
  if (d->stalled)
    wakes = MIN(wakes, d->stalled_us + STALL_US);
  gint64 wait = wakes == G_MAXINT64 ? -1 : MAX(0, wakes - now_us()) / 1000 + 1;
  *timeout = (gint)MIN(wait, 60000);
  return FALSE;
}

/* Here, not when dispatched: the streams' sources are checked after this one, so what is complete is served
 * in the same turn. */
static gboolean door_check(GSource *source) {
  FkDoor *d = (FkDoor *)source;
  if (d->stalled && now_us() >= d->stalled_us + STALL_US)
    stall(d, FALSE);
  for (guint i = 0; i < d->listeners->len; i++) {
    Listener *l = d->listeners->pdata[i];
    if ((l->poll.revents & G_IO_IN) && !d->stalled)
      accept_all(l);
  }
  if (d->epoll.revents)
    collect(d);
  else if (fk_gate_wakes(d->gate) <= now_us())
    settle(d);
  release(d);
  return !g_queue_is_empty(&d->fresh);
}

static gboolean door_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  FkDoor *d = (FkDoor *)source;
  FkConn *c;
  while ((c = g_queue_pop_head(&d->fresh))) {
    g_autoptr(GSocketAddress) remote = g_socket_address_new_from_native(&c->from, sizeof c->from);
    g_autoptr(GIOStream) stream = fk_stream_new(c);
    const FkDoorKeeper *k = &c->at->keeper;
    k->serve(k->data, stream, c->at->address, remote);
    fk_conn_unref(c);
  }
  return G_SOURCE_CONTINUE;
}

static void listener_free(gpointer p) {
  Listener *l = p;
  g_clear_object(&l->socket);
  g_clear_object(&l->address);
  g_free(l);
}

static GSourceFuncs door_funcs = {.prepare = door_prepare, .check = door_check, .dispatch = door_dispatch};

FkDoor *fk_door_new(const FkDoorLimits *limits) {
  FkDoor *d = (FkDoor *)g_source_new(&door_funcs, sizeof(FkDoor));
  d->gate = fk_gate_new(limits);
  d->listeners = g_ptr_array_new_with_free_func(listener_free);
  d->dirty = g_ptr_array_new();
  d->conns = g_hash_table_new_full(NULL, NULL, (GDestroyNotify)fk_conn_unref, NULL);
  d->epoll = (GPollFD){.fd = epoll_create1(EPOLL_CLOEXEC), .events = G_IO_IN};
  g_source_add_poll(&d->source, &d->epoll);
  g_source_set_name(&d->source, "door");
  g_source_attach(&d->source, g_main_context_get_thread_default());
  return d;
}

static void orphan(FkConn *c) {
  fk_gate_leave(c->door->gate, &c->slot);
  c->door = NULL;
  close_now(c);
}

void fk_door_free(FkDoor *d) {
  if (!d)
    return;
  send_dirty(d);
  g_source_destroy(&d->source);
  g_queue_clear_full(&d->fresh, (GDestroyNotify)fk_conn_unref);
  for (guint ask = 0; ask < FK_ASKS; ask++)
    g_queue_clear_full(&d->ready[ask], (GDestroyNotify)fk_conn_unref);
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init(&it, d->conns);
  while (g_hash_table_iter_next(&it, &key, NULL))
    orphan(key); /* whoever holds its stream keeps the record */
  g_hash_table_unref(d->conns);
  g_ptr_array_unref(d->listeners);
  g_ptr_array_unref(d->dirty);
  close(d->epoll.fd);
  fk_gate_free(d->gate);
  g_source_unref(&d->source);
}

GSocket *fk_door_listen(FkDoor *d, const char *where, const FkDoorKeeper *keeper, GError **error) {
  const char *colon = strrchr(where, ':');
  g_autofree char *host = g_strndup(where, (gsize)(colon - where));
  g_autoptr(GSocketAddress) address =
      g_inet_socket_address_new_from_string(host, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
  g_autoptr(GSocket) socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (!socket)
    goto failed;
  g_socket_set_listen_backlog(socket, (gint)fk_gate_limits(d->gate)->backlog);
  if (!g_socket_bind(socket, address, TRUE, error) || !g_socket_listen(socket, error))
    goto failed;
  Listener *l = g_new0(Listener, 1);
  l->door = d;
  l->keeper = *keeper;
  l->address = g_socket_get_local_address(socket, NULL);
  l->poll = (GPollFD){.fd = g_socket_get_fd(socket), .events = G_IO_IN};
  l->socket = g_steal_pointer(&socket);
  g_ptr_array_add(d->listeners, l);
  g_source_add_poll(&d->source, &l->poll);
  return l->socket;
failed:
  g_prefix_error(error, "%s: ", where);
  return NULL;
}

const FkGate *fk_door_gate(const FkDoor *d) { return d->gate; }
