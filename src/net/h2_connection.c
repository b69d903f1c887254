#include "net/h2_connection.h"

#define READ_BYTES 32768
/* maximum reads from one connection per main loop iteration, so that other connections are served too */
#define READS_PER_ITERATION 8
/* A client that makes no call within this time is disconnected. A build tool makes its first call at once. */
#define FIRST_CALL_TIMEOUT_US 10000000
#define WRITE_TIMEOUT_US 60000000 /* a client that accepts no output for this long is disconnected */

struct FkH2Connection {
  GIOStream *stream;
  FkH2Session *session;
  GSource *readable;
  GSource *writable; /* waits for the stream to accept output; NULL if not waiting */
  GSource *timer;
  GSource *wake;  /* a scheduled write; NULL if none is scheduled */
  GBytes *unsent; /* session output that the stream has not accepted; NULL if none */
  gint64 begun_us, idle_us;
  gint64 blocked_us; /* when the stream stopped accepting output; 0 if it accepts output */
  gboolean goaway_sent;
  gboolean had_call;
  void (*closed)(gpointer data, FkH2Connection *connection);
  gpointer data;
};

static GPollableInputStream *input(FkH2Connection *connection) {
  return G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(connection->stream));
}

static GPollableOutputStream *output(FkH2Connection *connection) {
  return G_POLLABLE_OUTPUT_STREAM(g_io_stream_get_output_stream(connection->stream));
}

static void attach(GSource *source, GSourceFunc callback, FkH2Connection *connection) {
  g_source_set_callback(source, callback, connection, NULL);
  g_source_attach(source, g_main_context_get_thread_default());
}

static void clear_source(GSource **source) {
  if (!*source)
    return;
  g_source_destroy(*source);
  g_clear_pointer(source, g_source_unref);
}

FkH2Session *fk_h2_connection_session(FkH2Connection *connection) { return connection->session; }

void fk_h2_connection_free(FkH2Connection *connection) {
  clear_source(&connection->readable);
  clear_source(&connection->writable);
  clear_source(&connection->timer);
  clear_source(&connection->wake);
  fk_h2_session_free(connection->session);
  g_clear_pointer(&connection->unsent, g_bytes_unref);
  g_io_stream_close(connection->stream, NULL, NULL);
  g_object_unref(connection->stream);
  g_free(connection);
}

static void close_connection(FkH2Connection *connection) {
  connection->closed(connection->data, connection);
  fk_h2_connection_free(connection);
}

/* ------------------------------------------------------------------ writing */

static gboolean on_writable(GObject *stream, gpointer data);

static void wait_writable(FkH2Connection *connection) {
  if (!connection->blocked_us)
    connection->blocked_us = g_get_monotonic_time();
  if (connection->writable)
    return;
  connection->writable = g_pollable_output_stream_create_source(output(connection), NULL);
  attach(connection->writable, G_SOURCE_FUNC(on_writable), connection);
}

static void drop_sent(FkH2Connection *connection, gsize sent) {
  g_autoptr(GBytes) before = g_steal_pointer(&connection->unsent);
  gsize len = g_bytes_get_size(before);
  if (sent < len)
    connection->unsent = g_bytes_new_from_bytes(before, sent, len - sent);
}

/* Moves the session's next output to `unsent`. Returns FALSE if there is none. */
static gboolean take_output(FkH2Connection *connection) {
  const guint8 *bytes;
  gsize len = fk_h2_session_next_output(connection->session, &bytes);
  if (len)
    connection->unsent = g_bytes_new(bytes, len);
  return len > 0;
}

/* Writes the session's output until the stream would block. Returns FALSE if a write failed. */
static gboolean write_available(FkH2Connection *connection) {
  while (connection->unsent || take_output(connection)) {
    gsize len;
    const guint8 *bytes = g_bytes_get_data(connection->unsent, &len);
    g_autoptr(GError) error = NULL;
    gssize sent = g_pollable_output_stream_write_nonblocking(output(connection), bytes, len, NULL, &error);
    if (sent < 0 && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      return FALSE;
    if (sent < 0) {
      wait_writable(connection);
      return TRUE;
    }
    connection->blocked_us = 0;
    drop_sent(connection, (gsize)sent);
  }
  return TRUE;
}

static void schedule_timeout(FkH2Connection *connection) {
  gboolean has_calls = fk_h2_session_calls(connection->session) > 0;
  connection->had_call |= has_calls;
  gint64 at_us = -1;
  if (connection->blocked_us)
    at_us = connection->blocked_us + WRITE_TIMEOUT_US;
  else if (!connection->had_call)
    at_us = connection->begun_us + MIN(FIRST_CALL_TIMEOUT_US, connection->idle_us);
  else if (!has_calls)
    at_us = g_get_monotonic_time() + connection->idle_us;
  g_source_set_ready_time(connection->timer, at_us);
}

/* Writes the session's output and restarts the timeout. Closes the connection if a write failed or the
 * session is done. Returns FALSE if the connection was closed, which frees it. */
static gboolean write_or_close(FkH2Connection *connection) {
  if (!write_available(connection) || (!connection->unsent && fk_h2_session_is_done(connection->session))) {
    close_connection(connection);
    return FALSE;
  }
  schedule_timeout(connection);
  return TRUE;
}

static gboolean on_writable(GObject *stream, gpointer data) {
  FkH2Connection *connection = data;
  clear_source(&connection->writable);
  write_or_close(connection);
  return G_SOURCE_REMOVE;
}

static gboolean on_wake(gpointer data) {
  FkH2Connection *connection = data;
  clear_source(&connection->wake);
  write_or_close(connection);
  return G_SOURCE_REMOVE;
}

void fk_h2_connection_wake(FkH2Connection *connection) {
  if (connection->wake)
    return;
  connection->wake = g_idle_source_new();
  g_source_set_priority(connection->wake, G_PRIORITY_DEFAULT);
  attach(connection->wake, on_wake, connection);
}

/* ------------------------------------------------------------------ reading */

static gboolean on_readable(GObject *stream, gpointer data) {
  FkH2Connection *connection = data;
  for (guint i = 0; i < READS_PER_ITERATION; i++) {
    guint8 bytes[READ_BYTES];
    g_autoptr(GError) error = NULL;
    gssize len =
        g_pollable_input_stream_read_nonblocking(input(connection), bytes, sizeof bytes, NULL, &error);
    if (len < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      break;
    if (len <= 0) {
      close_connection(connection);
      return G_SOURCE_REMOVE;
    }
    if (!fk_h2_session_receive(connection->session, bytes, (gsize)len)) {
      write_available(connection); /* sends what the session still has queued */
      close_connection(connection);
      return G_SOURCE_REMOVE;
    }
  }
  return write_or_close(connection) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

/* ------------------------------------------------------------------ timeouts */

/* Closes the connection if it is blocked, has made no call, or was sent GOAWAY before. Otherwise the
 * connection is idle, and is sent GOAWAY first. */
static gboolean on_timeout(gpointer data) {
  FkH2Connection *connection = data;
  g_source_set_ready_time(connection->timer, -1);
  if (connection->goaway_sent || !connection->had_call || connection->blocked_us) {
    close_connection(connection);
    return G_SOURCE_REMOVE;
  }
  connection->goaway_sent = TRUE;
  fk_h2_session_goaway(connection->session);
  write_or_close(connection);
  return G_SOURCE_CONTINUE;
}

static gboolean timer_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  return callback(data);
}
static GSourceFuncs timer_funcs = {.dispatch = timer_dispatch};

FkH2Connection *fk_h2_connection_new(GIOStream *stream, const FkH2Limits *limits,
                                     const FkH2Callbacks *callbacks, gpointer callbacks_data, gint64 idle_us,
                                     void (*closed)(gpointer data, FkH2Connection *connection),
                                     gpointer data) {
  FkH2Connection *connection = g_new0(FkH2Connection, 1);
  connection->stream = g_object_ref(stream);
  connection->session = fk_h2_session_new(limits, callbacks, callbacks_data);
  connection->begun_us = g_get_monotonic_time();
  connection->idle_us = idle_us;
  connection->closed = closed;
  connection->data = data;
  connection->timer = g_source_new(&timer_funcs, sizeof(GSource));
  attach(connection->timer, on_timeout, connection);
  connection->readable = g_pollable_input_stream_create_source(input(connection), NULL);
  attach(connection->readable, G_SOURCE_FUNC(on_readable), connection);
  fk_h2_connection_wake(connection);
  return connection;
}
