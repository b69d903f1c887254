#include "net/connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "admission/request_parser.h"

#define READ_BYTES 16384
#define UNSENT_BYTES_MAX 65536      /* the handler's writes block while this many bytes are unsent */
#define DISCARDED_BYTES_MAX 1048576 /* a lingering connection that sends more is closed */
#define CONTINUE_RESPONSE "HTTP/1.1 100 Continue\r\n\r\n"

struct FkConnection {
  FkConnectionSlot slot;            /* must be first: see fk_connection_from_slot() */
  const FkConnectionOwner *owner;   /* NULL after fk_connection_detach() */
  const FkListenerHandler *handler; /* NULL after fk_connection_detach() */
  GSocketAddress *local;
  struct sockaddr_storage remote;
  gint refs;
  int fd; /* -1 after the socket is closed */

  /* input */
  FkRequestParser parser;
  GByteArray *received;      /* bytes of the current request and of later ones; NULL if there are none */
  gsize request_bytes;       /* length of the complete request in `received`; 0 if none is complete */
  gsize consumed;            /* bytes of the complete request that the handler has read */
  gsize parsed;              /* bytes of `received` that the parser has processed */
  gsize discarded;           /* bytes discarded while lingering */
  gboolean readable;         /* the socket may have input */
  gboolean peer_half_closed; /* the client has closed its sending side, or the socket has failed */

  /* output */
  GByteArray *unsent;      /* output of the handler; NULL if all of it is sent */
  gsize sent;              /* bytes of `unsent` that are sent already */
  gboolean writable;       /* FALSE after a send would have blocked, until epoll reports EPOLLOUT */
  gboolean output_pending; /* the owner was told of the output and has not flushed it yet */

  /* the current request */
  gboolean continue_sent;
  gboolean responding; /* the handler has begun to write */
  gboolean released;   /* the handler may read the request */

  gboolean raw;           /* copied from the handler, which the connection may outlive */
  gboolean broken;        /* the handler's writes fail; it reads end of file after the current request */
  gboolean has_stream;    /* the first request was released: the handler gets a stream */
  gboolean stream_closed; /* the handler has closed its stream */
};

static gint64 now_us(void) { return g_get_monotonic_time(); }

FkConnection *fk_connection_new(int fd, const struct sockaddr_storage *remote, GSocketAddress *local,
                                const FkListenerHandler *handler, const FkConnectionOwner *owner) {
  FkConnection *c = g_new0(FkConnection, 1);
  c->refs = 1;
  c->owner = owner;
  c->handler = handler;
  c->local = g_object_ref(local);
  c->remote = *remote;
  c->fd = fd;
  c->writable = TRUE;
  c->raw = handler->raw;
  fk_request_parser_init(&c->parser);
  /* Disables Nagle's algorithm for raw connections: their protocols send small frames that the peer waits
   * for. An HTTP/1 response is one write. */
  int enable = 1;
  if (c->raw)
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  return c;
}

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
  g_object_unref(c->local);
  g_free(c);
}

void fk_connection_abandon(FkConnection *c) {
  close(c->fd);
  fk_connection_unref(c);
}

void fk_connection_admit(FkConnection *c, const char *address) {
  fk_admission_connection_opened(c->owner->admission, &c->slot, address, c->handler->connection_class,
                                 now_us());
}

FkConnection *fk_connection_from_slot(FkConnectionSlot *slot) { return (FkConnection *)slot; }

const FkListenerHandler *fk_connection_handler(const FkConnection *c) { return c->handler; }
GSocketAddress *fk_connection_local_address(const FkConnection *c) { return c->local; }
GSocketAddress *fk_connection_remote_address(const FkConnection *c) {
  return g_socket_address_new_from_native((gpointer)&c->remote, sizeof c->remote);
}

/* ------------------------------------------------------------------ closing */

static void drop_received(FkConnection *c) {
  g_clear_pointer(&c->received, g_byte_array_unref);
  c->request_bytes = c->consumed = c->parsed = 0;
}

static void drop_unsent(FkConnection *c) {
  g_clear_pointer(&c->unsent, g_byte_array_unref);
  c->sent = 0;
}

static void remove_from_owner(FkConnection *c) {
  fk_admission_connection_closed(c->owner->admission, &c->slot);
  drop_received(c);
  c->owner->removed(c->owner->server, c);
}

void fk_connection_close_socket(FkConnection *c) {
  if (c->fd < 0)
    return;
  close(c->fd);
  c->fd = -1;
  c->broken = TRUE;
  drop_unsent(c);
  if (!c->owner)
    return;
  c->owner->socket_closed(c->owner->server);
  if (!c->released || c->stream_closed || c->slot.stage != FK_STAGE_HANDLING)
    remove_from_owner(c);
}

void fk_connection_detach(FkConnection *c) {
  fk_admission_connection_closed(c->owner->admission, &c->slot);
  c->owner = NULL;
  c->handler = NULL;
  fk_connection_close_socket(c);
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

static char *format_rejection(const FkConnection *c, const FkRejection *rejection) {
  g_autofree char *body = c->handler->rejection_body(rejection->reason);
  g_autofree char *retry_after = rejection->retry_after_s
                                     ? g_strdup_printf("Retry-After: %u\r\n", rejection->retry_after_s)
                                     : g_strdup("");
  return g_strdup_printf(
      "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\nContent-Length: %" G_GSIZE_FORMAT
      "\r\n%sConnection: close\r\n\r\n%s",
      rejection->status, reason_phrase(rejection->status), strlen(body), retry_after, body);
}

static gboolean send_now(FkConnection *c, const char *text) {
  return send(c->fd, text, strlen(text), MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
}

/* Shuts down only the sending side. Closing the socket with unread input would reset the connection, and the
 * client would lose the response. Further input is discarded until the linger timeout, up to
 * DISCARDED_BYTES_MAX. */
void fk_connection_send_rejection(FkConnection *c, const FkRejection *rejection) {
  g_autofree char *response = format_rejection(c, rejection);
  drop_received(c);
  c->broken = TRUE;
  if (!send_now(c, response) || shutdown(c->fd, SHUT_WR) < 0)
    fk_connection_close_socket(c);
}

static void reject(FkConnection *c, FkRejectionReason reason, const FkRejection *rejection) {
  fk_admission_reject(c->owner->admission, &c->slot, reason, now_us());
  fk_connection_send_rejection(c, rejection);
}

/* ------------------------------------------------------------------ requests */

static gsize buffered_bytes(const FkConnection *c) {
  return (c->received ? c->received->len : 0) + (c->unsent ? c->unsent->len : 0);
}

static void send_continue(FkConnection *c) {
  c->continue_sent = TRUE;
  if (!send_now(c, CONTINUE_RESPONSE))
    fk_connection_close_socket(c);
}

/* Asks admission control whether the request, whose head is complete, is admitted. Returns FALSE if the
 * request was rejected. */
static gboolean admit_request(FkConnection *c) {
  FkRejection rejection;
  FkRequestClass request_class = c->handler->classify(fk_request_parser_method(&c->parser), c->parser.path);
  if (fk_admission_admit_request(c->owner->admission, &c->slot, request_class, now_us(), &rejection))
    return TRUE;
  fk_connection_send_rejection(c, &rejection);
  return FALSE;
}

static void request_complete(FkConnection *c) {
  c->request_bytes = c->parsed;
  c->consumed = 0;
  c->responding = c->released = FALSE;
  fk_admission_request_complete(c->owner->admission, &c->slot, now_us());
  c->owner->request_complete(c->owner->server, c, c->slot.request_class);
}

gboolean fk_connection_release(FkConnection *c) {
  if (c->slot.stage != FK_STAGE_HANDLING || c->released)
    return FALSE; /* the connection was closed while its request was queued */
  gboolean is_first = !c->has_stream;
  c->released = c->has_stream = TRUE;
  return is_first;
}

/* Parses the unparsed bytes of `received`, up to the end of one request. Rejects a request that is malformed
 * or not admitted. */
static void parse_received(FkConnection *c) {
  FkAdmission *admission = c->owner->admission;
  FkParserStage before = c->parser.stage;
  if (before == FK_PARSER_STAGE_START)
    fk_admission_begin_stage(admission, &c->slot, FK_STAGE_HEAD, now_us());
  c->parsed += fk_request_parser_feed(&c->parser, fk_admission_limits(admission),
                                      (char *)c->received->data + c->parsed, c->received->len - c->parsed);
  FkParserStage stage = c->parser.stage;
  FkRejection rejection;
  if (stage == FK_PARSER_STAGE_FAILED) {
    rejection = (FkRejection){.status = c->parser.status, .reason = c->parser.reason};
    reject(c, FK_REJECTION_MALFORMED, &rejection);
    return;
  }
  if (stage >= FK_PARSER_STAGE_BODY && before < FK_PARSER_STAGE_BODY) {
    if (!admit_request(c))
      return;
    fk_admission_begin_stage(admission, &c->slot, FK_STAGE_BODY, now_us());
  }
  if (!fk_admission_set_buffered(admission, &c->slot, buffered_bytes(c), &rejection)) {
    reject(c, FK_REJECTION_MEMORY, &rejection);
    return;
  }
  if (stage == FK_PARSER_STAGE_COMPLETE)
    request_complete(c);
  else if (stage == FK_PARSER_STAGE_BODY && c->parser.expects_continue && !c->continue_sent)
    send_continue(c);
}

/* Returns whether the socket may be read. While a request is handled and its response is sent, input stays in
 * the kernel's buffer, and TCP flow control stops the client. */
static gboolean wants_input(const FkConnection *c) {
  return c->fd >= 0 && c->slot.stage != FK_STAGE_HANDLING && c->slot.stage != FK_STAGE_SENDING;
}

static void append_received(FkConnection *c, const guint8 *data, gsize len) {
  if (c->slot.stage == FK_STAGE_LINGERING) {
    c->discarded += len;
    if (c->discarded > DISCARDED_BYTES_MAX)
      fk_connection_close_socket(c);
    return;
  }
  if (!c->received)
    c->received = g_byte_array_new();
  g_byte_array_append(c->received, data, (guint)len);
  parse_received(c);
}

static void read_available(FkConnection *c) {
  if (c->raw) {
    if (c->readable && c->slot.stage == FK_STAGE_CONNECTED)
      request_complete(c); /* from its first input on, a raw connection counts as one request */
    return;
  }
  guint8 data[READ_BYTES];
  while (c->readable && wants_input(c)) {
    gssize n = recv(c->fd, data, sizeof data, 0);
    if (n > 0) {
      /* A short read has emptied the socket, and epoll reports later input. After a half-close it reports
       * nothing more, so the socket is read until end of file. */
      c->readable = n == READ_BYTES || c->peer_half_closed;
      append_received(c, data, (gsize)n);
    } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      c->readable = errno == EINTR;
    } else {
      c->readable = FALSE;
      c->peer_half_closed = TRUE;
      fk_connection_close_socket(c); /* no request is being handled, so no response is pending */
    }
  }
}

/* ------------------------------------------------------------------ responses */

/* Sends queued output until the socket would block. Returns TRUE if no output is left: it has been sent, or
 * an error has closed the socket. */
static gboolean send_unsent(FkConnection *c) {
  while (c->unsent && c->fd >= 0 && c->writable) {
    gssize n = send(c->fd, c->unsent->data + c->sent, c->unsent->len - c->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0) {
      c->sent += (gsize)n;
      if (c->sent == c->unsent->len)
        drop_unsent(c);
    } else if (errno == EAGAIN) {
      c->writable = FALSE;
    } else if (errno != EINTR) {
      fk_connection_close_socket(c);
    }
  }
  return !c->unsent;
}

/* Removes the handled request from `received`. The remaining bytes belong to the next request. */
static void begin_next_request(FkConnection *c) {
  if (c->received)
    g_byte_array_remove_range(c->received, 0, (guint)c->request_bytes);
  c->request_bytes = c->consumed = c->parsed = 0;
  c->continue_sent = c->responding = c->released = FALSE;
  fk_request_parser_init(&c->parser);
  if (c->received && !c->received->len)
    drop_received(c);
}

/* Closes the connection after its response has been sent and the handler has closed the stream. If input may
 * be left, the connection lingers instead: unread input would turn the close into a reset. */
static void close_after_response(FkConnection *c) {
  gboolean input_left = c->received || (c->readable && !c->peer_half_closed);
  if (!input_left) {
    fk_connection_close_socket(c);
    return;
  }
  fk_admission_reject(c->owner->admission, &c->slot, FK_REJECTION_HANDLER_CLOSED, now_us());
  drop_received(c);
  if (shutdown(c->fd, SHUT_WR) < 0)
    fk_connection_close_socket(c);
  else
    read_available(c);
}

/* Sends a response that the handler has written completely. After the last byte, closes the connection if the
 * handler has closed the stream, else goes on to the next request. */
static void response_written(FkConnection *c) {
  FkRejection rejection;
  if (c->fd < 0)
    return;
  gboolean all_sent = send_unsent(c);
  if (c->fd < 0 || !c->owner)
    return;
  if (all_sent)
    begin_next_request(c);
  fk_admission_response_written(c->owner->admission, &c->slot, all_sent, now_us());
  fk_admission_set_buffered(c->owner->admission, &c->slot, buffered_bytes(c), &rejection);
  if (!all_sent)
    return;
  if (c->stream_closed) {
    close_after_response(c);
    return;
  }
  if (c->received)
    parse_received(c);
  read_available(c);
}

void fk_connection_flush(FkConnection *c) {
  FkRejection rejection;
  c->output_pending = FALSE;
  if (c->unsent && !send_unsent(c) && c->fd >= 0 && c->slot.stage == FK_STAGE_HANDLING)
    fk_admission_set_buffered(c->owner->admission, &c->slot, buffered_bytes(c), &rejection);
}

void fk_connection_on_events(FkConnection *c, guint32 events) {
  c->peer_half_closed |= (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  c->readable |= (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  c->writable |= (events & EPOLLOUT) != 0;
  if (events & (EPOLLHUP | EPOLLERR)) {
    fk_connection_close_socket(c); /* closed in both directions, or failed: no response can be sent */
    return;
  }
  fk_connection_ref(c);
  if (c->slot.stage == FK_STAGE_SENDING && c->writable)
    response_written(c);
  else if (c->slot.stage == FK_STAGE_HANDLING && c->writable)
    send_unsent(c);
  read_available(c);
  fk_connection_unref(c);
}

/* ------------------------------------------------------------------ calls by the stream */

gboolean fk_connection_can_read(const FkConnection *c) {
  return c->broken || (c->released && (c->raw ? c->readable : c->consumed < c->request_bytes));
}

gboolean fk_connection_can_write(const FkConnection *c) {
  return c->fd < 0 || c->broken || !c->unsent || c->unsent->len - c->sent < UNSENT_BYTES_MAX;
}

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
  /* End of file: the connection is broken, or the handler has read the whole request and reads on before it
   * responds. In the latter case, it disagrees with the parser about where the request ends. */
  if (c->broken || (c->released && !c->responding))
    return 0;
  return FK_CONNECTION_WOULD_BLOCK;
}

gssize fk_connection_write(FkConnection *c, const void *from, gsize len) {
  if (c->fd < 0 || c->broken)
    return FK_CONNECTION_BROKEN;
  c->responding = TRUE;
  if (c->unsent && c->unsent->len - c->sent >= UNSENT_BYTES_MAX && !send_unsent(c))
    return c->fd < 0 ? FK_CONNECTION_BROKEN : FK_CONNECTION_WOULD_BLOCK;
  if (!c->unsent)
    c->unsent = g_byte_array_new();
  len = MIN(len, UNSENT_BYTES_MAX);
  g_byte_array_append(c->unsent, from, (guint)len);
  if (!c->output_pending && c->owner) {
    c->output_pending = TRUE;
    c->owner->output_pending(c->owner->server, c);
  }
  return (gssize)len;
}

void fk_connection_stream_closed(FkConnection *c) {
  if (c->stream_closed)
    return;
  c->stream_closed = TRUE;
  if (!c->owner)
    return;
  if (c->slot.stage == FK_STAGE_LINGERING)
    return; /* rejected: the socket is closed at the linger timeout */
  if (c->fd < 0) {
    if (c->slot.stage != FK_STAGE_UNTRACKED)
      remove_from_owner(c);
  } else if (c->slot.stage == FK_STAGE_HANDLING) {
    response_written(c);
  } else if (c->slot.stage != FK_STAGE_SENDING) {
    fk_connection_close_socket(c);
  }
}
