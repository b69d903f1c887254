#include "net/h2_connection.h"

#define READ_BYTES 32768
#define READS_PER_ITERATION 8 /* then others have their turn */
#define FIRST_CALL_TIMEOUT_US                                                                                \
  10000000                        /* to the first call: a connection that never makes one is no client's */
#define WRITE_TIMEOUT_US 60000000 /* a client that takes nothing for so long is gone */

struct FkH2Connection {
  GIOStream *stream;
  FkH2Session *h2;
  GSource *readable, *writable, *idle, *wake;
  GBytes *unsent;                       /* given by nghttp2, not yet taken by the stream */
  gint64 begun_us, idle_us, blocked_us; /* blocked: since when the stream takes nothing; 0: it does */
  gboolean goaway_sent;                 /* to go */
  gboolean had_call;                    /* has made a call */
  void (*closed)(gpointer data, FkH2Connection *c);
  gpointer data;
};

static GPollableInputStream *input(FkH2Connection *c) {
  return G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(c->stream));
}

static GPollableOutputStream *output(FkH2Connection *c) {
  return G_POLLABLE_OUTPUT_STREAM(g_io_stream_get_output_stream(c->stream));
}

static void clear_source(GSource **source) {
  if (!*source)
    return;
  g_source_destroy(*source);
  g_clear_pointer(source, g_source_unref);
}

void fk_h2_connection_free(FkH2Connection *c) {
  clear_source(&c->readable);
  clear_source(&c->writable);
  clear_source(&c->idle);
  clear_source(&c->wake);
  fk_h2_session_free(c->h2);
  g_clear_pointer(&c->unsent, g_bytes_unref);
  g_io_stream_close(c->stream, NULL, NULL);
  g_object_unref(c->stream);
  g_free(c);
}

static void close_connection(FkH2Connection *c) {
  c->closed(c->data, c);
  fk_h2_connection_free(c);
}

FkH2Session *fk_h2_connection_session(FkH2Connection *c) { return c->h2; }

/* ------------------------------------------------------------------ writing */

static gboolean on_writable(GObject *stream, gpointer data);

/* FALSE: the other end is gone. */
static gboolean write_available(FkH2Connection *c) {
  for (;;) {
    if (!c->unsent) {
      const guint8 *bytes;
      gsize n = fk_h2_session_next_output(c->h2, &bytes);
      if (!n)
        return TRUE;
      c->unsent = g_bytes_new(bytes, n);
    }
    gsize len;
    const guint8 *bytes = g_bytes_get_data(c->unsent, &len);
    g_autoptr(GError) error = NULL;
    gssize n = g_pollable_output_stream_write_nonblocking(output(c), bytes, len, NULL, &error);
    if (n < 0 && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      return FALSE;
    if (n < 0) {
      c->blocked_us = c->blocked_us ? c->blocked_us : g_get_monotonic_time();
      if (!c->writable) {
        c->writable = g_pollable_output_stream_create_source(output(c), NULL);
        g_source_set_callback(c->writable, G_SOURCE_FUNC(on_writable), c, NULL);
        g_source_attach(c->writable, g_main_context_get_thread_default());
      }
      return TRUE;
    }
    c->blocked_us = 0;
    GBytes *rest = (gsize)n < len ? g_bytes_new_from_bytes(c->unsent, (gsize)n, len - (gsize)n) : NULL;
    g_bytes_unref(c->unsent);
    c->unsent = rest;
  }
}

static void rest(FkH2Connection *c) {
  gint64 at = -1;
  c->had_call |= fk_h2_session_calls(c->h2) > 0;
  if (!c->had_call)
    at = c->begun_us + MIN(FIRST_CALL_TIMEOUT_US, c->idle_us);
  else if (!fk_h2_session_calls(c->h2))
    at = g_get_monotonic_time() + c->idle_us;
  g_source_set_ready_time(c->idle, c->blocked_us ? c->blocked_us + WRITE_TIMEOUT_US : at);
}

/* What there is to say is said; the connection ends when both sides have no more to say. FALSE: it is gone.
 */
static gboolean progress(FkH2Connection *c) {
  if (!write_available(c) || (!c->unsent && fk_h2_session_is_done(c->h2))) {
    close_connection(c);
    return FALSE;
  }
  rest(c);
  return TRUE;
}

static gboolean on_writable(GObject *stream, gpointer data) {
  FkH2Connection *c = data;
  clear_source(&c->writable);
  progress(c);
  return G_SOURCE_REMOVE;
}

static gboolean on_wake(gpointer data) {
  FkH2Connection *c = data;
  clear_source(&c->wake);
  progress(c);
  return G_SOURCE_REMOVE;
}

void fk_h2_connection_wake(FkH2Connection *c) {
  if (c->wake)
    return;
  c->wake = g_idle_source_new();
  g_source_set_priority(c->wake, G_PRIORITY_DEFAULT);
  g_source_set_callback(c->wake, on_wake, c, NULL);
  g_source_attach(c->wake, g_main_context_get_thread_default());
}

/* ------------------------------------------------------------------ reading */

static gboolean on_readable(GObject *stream, gpointer data) {
  FkH2Connection *c = data;
  for (guint i = 0; i < READS_PER_ITERATION; i++) {
    guint8 bytes[READ_BYTES];
    g_autoptr(GError) error = NULL;
    gssize n = g_pollable_input_stream_read_nonblocking(input(c), bytes, sizeof bytes, NULL, &error);
    if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      break;
    if (n <= 0) {
      close_connection(c);
      return G_SOURCE_REMOVE;
    }
    if (!fk_h2_session_receive(c->h2, bytes, (gsize)n)) {
      write_available(c); /* a last word why */
      close_connection(c);
      return G_SOURCE_REMOVE;
    }
  }
  return progress(c) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static gboolean on_idle(gpointer data) {
  FkH2Connection *c = data;
  g_source_set_ready_time(c->idle, -1);
  if (c->goaway_sent || !c->had_call || c->blocked_us) {
    close_connection(c);
    return G_SOURCE_REMOVE;
  }
  c->goaway_sent = TRUE;
  fk_h2_session_goaway(c->h2);
  progress(c);
  return G_SOURCE_CONTINUE;
}

static gboolean timer_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  return callback(data);
}
static GSourceFuncs timer_funcs = {.dispatch = timer_dispatch};

FkH2Connection *fk_h2_connection_new(GIOStream *stream, const FkH2Limits *limits, const FkH2Callbacks *calls,
                                     gpointer calls_data, gint64 idle_us,
                                     void (*over)(gpointer data, FkH2Connection *c), gpointer data) {
  FkH2Connection *c = g_new0(FkH2Connection, 1);
  c->stream = g_object_ref(stream);
  c->h2 = fk_h2_session_new(limits, calls, calls_data);
  c->begun_us = g_get_monotonic_time();
  c->idle_us = idle_us;
  c->closed = over;
  c->data = data;
  c->idle = g_source_new(&timer_funcs, sizeof(GSource));
  g_source_set_callback(c->idle, on_idle, c, NULL);
  g_source_attach(c->idle, g_main_context_get_thread_default());
  c->readable = g_pollable_input_stream_create_source(input(c), NULL);
  g_source_set_callback(c->readable, G_SOURCE_FUNC(on_readable), c, NULL);
  g_source_attach(c->readable, g_main_context_get_thread_default());
  fk_h2_connection_wake(c);
  return c;
}
