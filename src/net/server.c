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
#define UNSENT_BYTES_MAX 65536      /* of an answer, kept before its handler has to wait */
#define DISCARDED_BYTES_MAX 1048576 /* of what comes after a refusal */
#define EPOLL_EVENTS_MAX 256
/* How many complete requests of each kind go to their handlers in one turn, the first kinds first. In the
 * usual course that is all of them. After a crash of all, hundreds come at once, and a turn with all of them
 * would be a second or two: health checks and reports that come meanwhile would wait for submissions. Every
 * kind has some, so that none waits for ever. */
static const guint released_per_iteration[FK_REQUEST_CLASSES] = {
    [FK_REQUEST_CLASS_HEALTH] = G_MAXUINT, [FK_REQUEST_CLASS_PEER] = G_MAXUINT,
    [FK_REQUEST_CLASS_HEARTBEAT] = 32,     [FK_REQUEST_CLASS_CANCEL] = 16,
    [FK_REQUEST_CLASS_POLL] = 16,          [FK_REQUEST_CLASS_SUBMIT] = 16,
    [FK_REQUEST_CLASS_OTHER] = 8};

#define ACCEPT_PAUSE_US 100000 /* between two tries to accept when there was no descriptor */
#define ACCEPT_WARNING_INTERVAL_US 10000000

#define CONTINUE_RESPONSE "HTTP/1.1 100 Continue\r\n\r\n"

typedef struct {
  FkServer *door;
  FkListenerHandler keeper;
  GSocketAddress *address;
  GSocket *socket;
  GPollFD poll;
} Listener;

struct FkConnection {
  FkConnectionSlot slot; /* first: the gate names a connection by it */
  FkServer *server;
  Listener *listener;
  gint refs;
  int fd; /* -1: closed */
  struct sockaddr_storage remote_address;
  FkRequestParser parser;
  GByteArray *received; /* what has come; NULL: nothing */
  gsize request_bytes;  /* of it belongs to the request that is complete ... */
  gsize consumed;       /* ... and was read by the handler */
  gsize parsed;         /* went through the reader */
  gsize discarded;
  GByteArray *unsent; /* what the handler wrote and isn't sent yet; NULL: nothing */
  gsize sent;
  gboolean readable, writable, peer_half_closed, broken; /* half: the other end won't send any more */
  gboolean continue_sent, responding, in_flush_list;
  gboolean raw;                       /* its listener's, which it may outlive */
  gboolean released;                  /* the request that is complete was given to its handler */
  gboolean has_stream, stream_closed; /* has a stream; the stream was closed */
};

struct FkServer {
  GSource source; /* what is made by g_source_new() is the source itself */
  FkAdmission *admission;
  GPollFD epoll;
  GPtrArray *listeners;
  GQueue complete[FK_REQUEST_CLASSES]; /* FkConnection: a request is complete, by what it asks; each holds a
                                          reference */
  GQueue unserved;         /* FkConnection: released, and without a stream so far; each holds a reference */
  GPtrArray *flush_list;   /* FkConnection: to be sent at the end of the turn; each holds a reference */
  GHashTable *connections; /* FkConnection that have a place; each holds a reference */
  gboolean accept_paused;  /* no descriptor was left for who waits to be accepted */
  gint64 accept_paused_us, accept_warned_us;
  guint8 read_buffer[READ_BYTES];
};

static gint64 now_us(void) { return g_get_monotonic_time(); }

FkConnection *fk_connection_ref(FkConnection *c) {
  c->refs++;
  return c;
}

void fk_connection_unref(FkConnection *c) {
  if (--c->refs)
    return;
  if (c->received)
    g_byte_array_unref(c->received);
  if (c->unsent)
    g_byte_array_unref(c->unsent);
  g_free(c);
}

/* ------------------------------------------------------------------ leaving */

static void drop_received(FkConnection *c) {
  g_clear_pointer(&c->received, g_byte_array_unref);
  c->request_bytes = c->consumed = c->parsed = 0;
}

static void drop_unsent(FkConnection *c) {
  g_clear_pointer(&c->unsent, g_byte_array_unref);
  c->sent = 0;
}

/* No longer asked of the kernel while nobody can be accepted: it would answer at once, again and again. */
static void pause_accepting(FkServer *d, gboolean stalled) {
  d->accept_paused = stalled;
  for (guint i = 0; i < d->listeners->len; i++)
    ((Listener *)d->listeners->pdata[i])->poll.events = stalled ? 0 : G_IO_IN;
}

static void remove_connection(FkConnection *c) {
  fk_admission_connection_closed(c->server->admission, &c->slot);
  drop_received(c);
  g_hash_table_remove(c->server->connections, c);
}

/* The socket goes. A request that its handler has keeps its place until its handler lets go of it: what it
 * costs isn't over because nobody waits for the answer. */
static void close_socket(FkConnection *c) {
  if (c->fd < 0)
    return;
  close(c->fd);
  c->fd = -1;
  c->broken = TRUE;
  drop_unsent(c);
  if (!c->server) /* the door was freed first */
    return;
  if (c->server->accept_paused)
    pause_accepting(c->server, FALSE);
  if (!c->released || c->stream_closed || c->slot.stage != FK_STAGE_HANDLING)
    remove_connection(c);
}

static const char *reason_phrase(guint status) {
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
static void send_rejection(FkConnection *c, const FkRejection *v) {
  g_autofree char *body = c->listener->keeper.rejection_body(v->reason);
  g_autofree char *again =
      v->retry_after_s ? g_strdup_printf("Retry-After: %u\r\n", v->retry_after_s) : g_strdup("");
  g_autofree char *answer =
      g_strdup_printf("HTTP/1.1 %u %s\r\nContent-Type: application/json\r\nContent-Length: %" G_GSIZE_FORMAT
                      "\r\n%sConnection: close\r\n\r\n%s",
                      v->status, reason_phrase(v->status), strlen(body), again, body);
  drop_received(c);
  c->broken = TRUE; /* as far as a handler is concerned */
  if (send(c->fd, answer, strlen(answer), MSG_NOSIGNAL | MSG_DONTWAIT) < 0 || shutdown(c->fd, SHUT_WR) < 0)
    close_socket(c);
}

/* Whoever must go, goes. */
static void evict(FkServer *d) {
  FkRejection v;
  FkConnectionSlot *s;
  while ((s = fk_admission_next_eviction(d->admission, now_us(), &v))) {
    FkConnection *c = (FkConnection *)s;
    if (s->stage == FK_STAGE_LINGERING)
      send_rejection(c, &v);
    else
      close_socket(c);
  }
}

/* ------------------------------------------------------------------ requests */

static gsize buffered_bytes(const FkConnection *c) {
  return (c->received ? c->received->len : 0) + (c->unsent ? c->unsent->len : 0);
}

static void reject(FkConnection *c, FkRejectionReason why, const FkRejection *v) {
  fk_admission_reject(c->server->admission, &c->slot, why, now_us());
  send_rejection(c, v);
}

static void send_continue(FkConnection *c) {
  c->continue_sent = TRUE;
  if (send(c->fd, CONTINUE_RESPONSE, strlen(CONTINUE_RESPONSE), MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    close_socket(c);
}

/* FALSE: it was refused. */
static gboolean admit_request(FkConnection *c) {
  FkRejection v;
  FkRequestClass ask = c->listener->keeper.classify(fk_request_parser_method(&c->parser), c->parser.path);
  if (!fk_admission_admit_request(c->server->admission, &c->slot, ask, now_us(), &v)) {
    send_rejection(c, &v);
    return FALSE;
  }
  return TRUE;
}

static void request_complete(FkConnection *c) {
  c->request_bytes = c->parsed;
  c->consumed = 0;
  c->responding = c->released = FALSE;
  fk_admission_request_complete(c->server->admission, &c->slot, now_us());
  g_queue_push_tail(&c->server->complete[c->slot.request_class], fk_connection_ref(c));
}

static void release_complete(FkServer *d) {
  for (guint ask = 0; ask < FK_REQUEST_CLASSES; ask++) {
    FkConnection *c;
    for (guint n = 0; n < released_per_iteration[ask] && (c = g_queue_pop_head(&d->complete[ask])); n++) {
      if (c->slot.stage != FK_STAGE_HANDLING || c->released) {
        fk_connection_unref(c); /* gone while it waited */
        continue;
      }
      c->released = TRUE;
      if (c->has_stream) {
        fk_connection_unref(c);
      } else {
        c->has_stream = TRUE;
        g_queue_push_tail(&d->unserved, c);
      }
    }
  }
}

static gboolean has_complete(const FkServer *d) {
  for (guint ask = 0; ask < FK_REQUEST_CLASSES; ask++)
    if (d->complete[ask].length)
      return TRUE;
  return FALSE;
}

/* What has come and was not looked at goes through the reader, up to the end of a request. */
static void parse_received(FkConnection *c) {
  FkServer *d = c->server;
  FkParserStage before = c->parser.stage;
  if (before == FK_PARSER_STAGE_START)
    fk_admission_begin_stage(d->admission, &c->slot, FK_STAGE_HEAD, now_us());
  c->parsed += fk_request_parser_feed(&c->parser, fk_admission_limits(d->admission),
                                      (char *)c->received->data + c->parsed, c->received->len - c->parsed);
  FkParserStage stage = c->parser.stage;
  FkRejection v;
  if (stage == FK_PARSER_STAGE_FAILED) {
    v = (FkRejection){c->parser.status, 0, c->parser.reason};
    reject(c, FK_REJECTION_MALFORMED, &v);
    return;
  }
  if (stage >= FK_PARSER_STAGE_BODY && before < FK_PARSER_STAGE_BODY) {
    if (!admit_request(c))
      return;
    fk_admission_begin_stage(d->admission, &c->slot, FK_STAGE_BODY, now_us());
  }
  if (!fk_admission_set_buffered(d->admission, &c->slot, buffered_bytes(c), &v)) {
    reject(c, FK_REJECTION_MEMORY, &v);
    return;
  }
  if (stage == FK_PARSER_STAGE_COMPLETE)
    request_complete(c);
  else if (stage == FK_PARSER_STAGE_BODY && c->parser.expects_continue && !c->continue_sent)
    send_continue(c);
}

static gboolean wants_input(const FkConnection *c) {
  return c->fd >= 0 && c->slot.stage != FK_STAGE_HANDLING && c->slot.stage != FK_STAGE_SENDING;
}

static void append_received(FkConnection *c, const guint8 *data, gsize len) {
  if (c->slot.stage == FK_STAGE_LINGERING) {
    c->discarded += len;
    if (c->discarded > DISCARDED_BYTES_MAX)
      close_socket(c);
    return;
  }
  if (!c->received)
    c->received = g_byte_array_new();
  g_byte_array_append(c->received, data, (guint)len);
  parse_received(c);
}

/* Reads what has come, as far as a request wants it. What comes while one is under way stays with the kernel.
 */
static void read_available(FkConnection *c) {
  if (c->raw) {
    if (c->readable && c->slot.stage == FK_STAGE_CONNECTED)
      request_complete(c); /* for as long as the connection lasts */
    return;
  }
  while (c->readable && wants_input(c)) {
    gssize n = recv(c->fd, c->server->read_buffer, READ_BYTES, 0);
    if (n > 0) {
      /* less than there was room for: all that there is, and an edge tells of more */
      c->readable = n == READ_BYTES || c->peer_half_closed;
      append_received(c, c->server->read_buffer, (gsize)n);
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      c->readable = errno == EINTR;
    } else {
      c->readable = FALSE;
      c->peer_half_closed = TRUE;
      close_socket(c); /* nothing is under way here, see wants(): nobody waits for an answer */
    }
  }
}

/* ------------------------------------------------------------------ answers */

/* TRUE when all has been sent. */
static gboolean flush(FkConnection *c) {
  while (c->unsent && c->fd >= 0 && c->writable) {
    gssize n = send(c->fd, c->unsent->data + c->sent, c->unsent->len - c->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) {
      c->sent += (gsize)n;
      if (c->sent == c->unsent->len)
        drop_unsent(c);
    } else if (errno == EAGAIN) {
      c->writable = FALSE;
    } else if (errno != EINTR) {
      close_socket(c);
    }
  }
  return !c->unsent;
}

/* The handler has written all of an answer. */
static void response_written(FkConnection *c) {
  FkRejection v;
  if (c->fd < 0)
    return;
  gboolean all = flush(c);
  if (c->fd < 0 || !c->server)
    return;
  if (all) { /* what is left of `in` is the next request's */
    if (c->received)
      g_byte_array_remove_range(c->received, 0, (guint)c->request_bytes);
    c->request_bytes = c->consumed = c->parsed = 0;
    c->continue_sent = c->responding = c->released = FALSE;
    fk_request_parser_init(&c->parser);
    if (c->received && !c->received->len)
      drop_received(c);
  }
  fk_admission_response_written(c->server->admission, &c->slot, all, now_us());
  fk_admission_set_buffered(c->server->admission, &c->slot, buffered_bytes(c), &v);
  if (!all)
    return;
  if (c->stream_closed) {
    /* what it still sends would make a reset of the close */
    if (c->received || (c->readable && !c->peer_half_closed)) {
      fk_admission_reject(c->server->admission, &c->slot, FK_REJECTION_HANDLER_CLOSED, now_us());
      drop_received(c);
      if (shutdown(c->fd, SHUT_WR) < 0)
        close_socket(c);
      else
        read_available(c);
    } else {
      close_socket(c);
    }
    return;
  }
  if (c->received)
    parse_received(c);
  read_available(c);
}

/* ------------------------------------------------------------------ the handler's side */

gboolean fk_connection_can_read(const FkConnection *c) {
  return c->broken || (c->released && (c->raw ? c->readable : c->consumed < c->request_bytes));
}

gboolean fk_connection_can_write(const FkConnection *c) {
  return c->fd < 0 || c->broken || !c->unsent || c->unsent->len - c->sent < UNSENT_BYTES_MAX;
}

/* A handler that wants to read after its answer has finished with the request. */
void fk_connection_want_read(FkConnection *c) {
  if (!c->raw && c->consumed == c->request_bytes && c->responding && c->slot.stage == FK_STAGE_HANDLING)
    response_written(c);
}

static gssize read_raw(FkConnection *c, void *to, gsize len) {
  if (c->broken)
    return 0;
  gssize n = c->readable ? recv(c->fd, to, len, 0) : -1;
  if (n < 0 && c->readable && errno != EAGAIN && errno != EINTR)
    n = 0;
  c->readable = n > 0 && ((gsize)n == len || c->peer_half_closed);
  return n < 0 ? FK_CONNECTION_WOULD_BLOCK : n;
}

gssize fk_connection_read(FkConnection *c, void *to, gsize len) {
  if (c->raw)
    return read_raw(c, to, len);
  fk_connection_want_read(c);
  if (c->released && c->consumed < c->request_bytes) {
    gsize n = MIN(len, c->request_bytes - c->consumed);
    memcpy(to, c->received->data + c->consumed, n);
    c->consumed += n;
    return (gssize)n;
  }
  /* one that wants more of a request that is complete reads another request than we did: no good can come
   * of it */
  if (c->broken || (c->released && !c->responding))
    return 0;
  return FK_CONNECTION_WOULD_BLOCK;
}

gssize fk_connection_write(FkConnection *c, const void *from, gsize len) {
  if (c->fd < 0 || c->broken)
    return FK_CONNECTION_BROKEN;
  c->responding = TRUE;
  if (c->unsent && c->unsent->len - c->sent >= UNSENT_BYTES_MAX && !flush(c))
    return c->fd < 0 ? FK_CONNECTION_BROKEN : FK_CONNECTION_WOULD_BLOCK;
  if (!c->unsent)
    c->unsent = g_byte_array_new();
  len = MIN(len, UNSENT_BYTES_MAX);
  g_byte_array_append(c->unsent, from, (guint)len);
  if (!c->in_flush_list && c->server) {
    c->in_flush_list = TRUE;
    g_ptr_array_add(c->server->flush_list, fk_connection_ref(c));
  }
  return (gssize)len;
}

void fk_connection_stream_closed(FkConnection *c) {
  if (c->stream_closed)
    return;
  c->stream_closed = TRUE;
  if (!c->server)
    return;
  if (c->slot.stage == FK_STAGE_LINGERING)
    return; /* refused: it goes when the gate says so */
  if (c->fd < 0) {
    if (c->slot.stage != FK_STAGE_UNTRACKED)
      remove_connection(c);
  } else if (c->slot.stage == FK_STAGE_HANDLING) {
    response_written(c);
  } else if (c->slot.stage != FK_STAGE_SENDING) {
    close_socket(c);
  }
}

/* ------------------------------------------------------------------ the door */

static void register_connection(Listener *l, int fd, const struct sockaddr_storage *from,
                                socklen_t from_len) {
  FkServer *d = l->door;
  FkConnection *c = g_new0(FkConnection, 1);
  c->refs = 1;
  c->server = d;
  c->listener = l;
  c->fd = fd;
  c->writable = TRUE;
  c->raw = l->keeper.raw;
  c->remote_address = *from;
  fk_request_parser_init(&c->parser);
  struct epoll_event e = {.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data.ptr = c};
  if (epoll_ctl(d->epoll.fd, EPOLL_CTL_ADD, fd, &e) < 0) {
    close(fd);
    fk_connection_unref(c);
    return;
  }
  /* An answer to a request is one write. Other protocols have small frames that others wait for. */
  int yes = 1;
  if (l->keeper.raw)
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  g_hash_table_add(d->connections, c);
  char name[INET6_ADDRSTRLEN] = "";
  g_autoptr(GSocketAddress) address = g_socket_address_new_from_native((gpointer)from, from_len);
  if (G_IS_INET_SOCKET_ADDRESS(address)) {
    g_autofree char *text =
        g_inet_address_to_string(g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
    g_strlcpy(name, text, sizeof name);
  }
  fk_admission_connection_opened(d->admission, &c->slot, name, l->keeper.connection_class, now_us());
  evict(d);
}

static void accept_all(Listener *l) {
  for (;;) {
    struct sockaddr_storage from;
    socklen_t len = sizeof from;
    int fd = accept4(l->poll.fd, (struct sockaddr *)&from, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      register_connection(l, fd, &from, len);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED)
      continue;
    if (errno != EAGAIN) {
      /* No descriptor is left although the limits leave some: they are looser than the system's. Who waits is
       * taken in when one is closed, or a little later; asking on and on would take the processor. */
      FkServer *d = l->door;
      gint64 t = now_us();
      if (!d->accept_warned_us || t >= d->accept_warned_us + ACCEPT_WARNING_INTERVAL_US) {
        g_warning("door: can't accept: %s", g_strerror(errno));
        d->accept_warned_us = t;
      }
      d->accept_paused_us = t;
      pause_accepting(d, TRUE);
    }
    return;
  }
}

static void poll_connections(FkServer *d) {
  struct epoll_event events[EPOLL_EVENTS_MAX];
  int n;
  do {
    n = epoll_wait(d->epoll.fd, events, EPOLL_EVENTS_MAX, 0);
    for (int i = 0; i < n; i++) {
      FkConnection *c = events[i].data.ptr;
      guint32 e = events[i].events;
      c->peer_half_closed |= (e & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
      c->readable |= (e & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
      c->writable |= (e & EPOLLOUT) != 0;
      if (e & (EPOLLHUP | EPOLLERR)) {
        close_socket(c); /* both ways are shut: no answer can reach it */
        continue;
      }
      fk_connection_ref(c);
      if (c->slot.stage == FK_STAGE_SENDING && c->writable)
        response_written(c);
      else if (c->slot.stage == FK_STAGE_HANDLING && c->writable)
        flush(c);
      read_available(c);
      fk_connection_unref(c);
    }
  } while (n == EPOLL_EVENTS_MAX);
  evict(d);
}

static void flush_all(FkServer *d) {
  for (guint i = 0; i < d->flush_list->len; i++) {
    FkConnection *c = d->flush_list->pdata[i];
    c->in_flush_list = FALSE;
    FkRejection v;
    if (c->unsent && !flush(c) && c->fd >= 0 && c->slot.stage == FK_STAGE_HANDLING)
      fk_admission_set_buffered(d->admission, &c->slot, buffered_bytes(c), &v);
    fk_connection_unref(c);
  }
  g_ptr_array_set_size(d->flush_list, 0);
}

static gboolean server_prepare(GSource *source, gint *timeout) {
  FkServer *d = (FkServer *)source;
  flush_all(d);
  if (has_complete(d)) {
    *timeout = 0; /* but first look who else has come */
    return FALSE;
  }
  gint64 wakes = fk_admission_next_deadline_us(d->admission);
  if (d->accept_paused)
    wakes = MIN(wakes, d->accept_paused_us + ACCEPT_PAUSE_US);
  gint64 wait = wakes == G_MAXINT64 ? -1 : MAX(0, wakes - now_us()) / 1000 + 1;
  *timeout = (gint)MIN(wait, 60000);
  return FALSE;
}

/* Here, not when dispatched: the streams' sources are checked after this one, so what is complete is served
 * in the same turn. */
static gboolean server_check(GSource *source) {
  FkServer *d = (FkServer *)source;
  if (d->accept_paused && now_us() >= d->accept_paused_us + ACCEPT_PAUSE_US)
    pause_accepting(d, FALSE);
  for (guint i = 0; i < d->listeners->len; i++) {
    Listener *l = d->listeners->pdata[i];
    if ((l->poll.revents & G_IO_IN) && !d->accept_paused)
      accept_all(l);
  }
  if (d->epoll.revents)
    poll_connections(d);
  else if (fk_admission_next_deadline_us(d->admission) <= now_us())
    evict(d);
  release_complete(d);
  return !g_queue_is_empty(&d->unserved);
}

static gboolean server_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  FkServer *d = (FkServer *)source;
  FkConnection *c;
  while ((c = g_queue_pop_head(&d->unserved))) {
    g_autoptr(GSocketAddress) remote =
        g_socket_address_new_from_native(&c->remote_address, sizeof c->remote_address);
    g_autoptr(GIOStream) stream = fk_stream_new(c);
    const FkListenerHandler *k = &c->listener->keeper;
    k->serve(k->data, stream, c->listener->address, remote);
    fk_connection_unref(c);
  }
  return G_SOURCE_CONTINUE;
}

static void listener_free(gpointer p) {
  Listener *l = p;
  g_clear_object(&l->socket);
  g_clear_object(&l->address);
  g_free(l);
}

static GSourceFuncs server_funcs = {
    .prepare = server_prepare, .check = server_check, .dispatch = server_dispatch};

FkServer *fk_server_new(const FkAdmissionLimits *limits) {
  FkServer *d = (FkServer *)g_source_new(&server_funcs, sizeof(FkServer));
  d->admission = fk_admission_new(limits);
  d->listeners = g_ptr_array_new_with_free_func(listener_free);
  d->flush_list = g_ptr_array_new();
  d->connections = g_hash_table_new_full(NULL, NULL, (GDestroyNotify)fk_connection_unref, NULL);
  d->epoll = (GPollFD){.fd = epoll_create1(EPOLL_CLOEXEC), .events = G_IO_IN};
  g_source_add_poll(&d->source, &d->epoll);
  g_source_set_name(&d->source, "door");
  g_source_attach(&d->source, g_main_context_get_thread_default());
  return d;
}

static void detach_connection(FkConnection *c) {
  fk_admission_connection_closed(c->server->admission, &c->slot);
  c->server = NULL;
  close_socket(c);
}

void fk_server_free(FkServer *d) {
  if (!d)
    return;
  flush_all(d);
  g_source_destroy(&d->source);
  g_queue_clear_full(&d->unserved, (GDestroyNotify)fk_connection_unref);
  for (guint ask = 0; ask < FK_REQUEST_CLASSES; ask++)
    g_queue_clear_full(&d->complete[ask], (GDestroyNotify)fk_connection_unref);
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init(&it, d->connections);
  while (g_hash_table_iter_next(&it, &key, NULL))
    detach_connection(key); /* whoever holds its stream keeps the record */
  g_hash_table_unref(d->connections);
  g_ptr_array_unref(d->listeners);
  g_ptr_array_unref(d->flush_list);
  close(d->epoll.fd);
  fk_admission_free(d->admission);
  g_source_unref(&d->source);
}

GSocket *fk_server_listen(FkServer *d, const char *where, const FkListenerHandler *keeper, GError **error) {
  const char *colon = strrchr(where, ':');
  g_autofree char *host = g_strndup(where, (gsize)(colon - where));
  g_autoptr(GSocketAddress) address =
      g_inet_socket_address_new_from_string(host, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
  g_autoptr(GSocket) socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
  if (!socket)
    goto failed;
  g_socket_set_listen_backlog(socket, (gint)fk_admission_limits(d->admission)->backlog);
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

const FkAdmission *fk_server_admission(const FkServer *d) { return d->admission; }
