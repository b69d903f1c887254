#include "net/h2_connection.h"

#define READ_BYTES 32768
#define READS_A_TURN 8    /* then others have their turn */
#define FIRST_US 10000000 /* to the first call: a connection that never makes one is no client's */
#define TAKE_US 60000000  /* a client that takes nothing for so long is gone */

struct FkH2Conn {
  GIOStream *stream;
  FkH2 *h2;
  GSource *in, *out, *idle, *wake;
  GBytes *left;                         /* given by nghttp2, not yet taken by the stream */
  gint64 begun_us, idle_us, blocked_us; /* blocked: since when the stream takes nothing; 0: it does */
  gboolean told;                        /* to go */
  gboolean called;                      /* has made a call */
  void (*over)(gpointer data, FkH2Conn *c);
  gpointer data;
};

static GPollableInputStream *input(FkH2Conn *c) {
  return G_POLLABLE_INPUT_STREAM(g_io_stream_get_input_stream(c->stream));
}

static GPollableOutputStream *output(FkH2Conn *c) {
  return G_POLLABLE_OUTPUT_STREAM(g_io_stream_get_output_stream(c->stream));
}

static void drop(GSource **source) {
  if (!*source)
    return;
  g_source_destroy(*source);
  g_clear_pointer(source, g_source_unref);
}

void fk_h2_conn_free(FkH2Conn *c) {
  drop(&c->in);
  drop(&c->out);
  drop(&c->idle);
  drop(&c->wake);
  fk_h2_free(c->h2);
  g_clear_pointer(&c->left, g_bytes_unref);
  g_io_stream_close(c->stream, NULL, NULL);
  g_object_unref(c->stream);
  g_free(c);
}

static void finished(FkH2Conn *c) {
  c->over(c->data, c);
  fk_h2_conn_free(c);
}

FkH2 *fk_h2_conn_h2(FkH2Conn *c) { return c->h2; }

/* ------------------------------------------------------------------ writing */

static gboolean on_writable(GObject *stream, gpointer data);

/* FALSE: the other end is gone. */
static gboolean write_some(FkH2Conn *c) {
  for (;;) {
    if (!c->left) {
      const guint8 *bytes;
      gsize n = fk_h2_next(c->h2, &bytes);
      if (!n)
        return TRUE;
      c->left = g_bytes_new(bytes, n);
    }
    gsize len;
    const guint8 *bytes = g_bytes_get_data(c->left, &len);
    g_autoptr(GError) error = NULL;
    gssize n = g_pollable_output_stream_write_nonblocking(output(c), bytes, len, NULL, &error);
    if (n < 0 && !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      return FALSE;
    if (n < 0) {
      c->blocked_us = c->blocked_us ? c->blocked_us : g_get_monotonic_time();
      if (!c->out) {
        c->out = g_pollable_output_stream_create_source(output(c), NULL);
        g_source_set_callback(c->out, G_SOURCE_FUNC(on_writable), c, NULL);
        g_source_attach(c->out, g_main_context_get_thread_default());
      }
      return TRUE;
    }
    c->blocked_us = 0;
    GBytes *rest = (gsize)n < len ? g_bytes_new_from_bytes(c->left, (gsize)n, len - (gsize)n) : NULL;
    g_bytes_unref(c->left);
    c->left = rest;
  }
}

static void rest(FkH2Conn *c) {
  gint64 at = -1;
  c->called |= fk_h2_calls(c->h2) > 0;
  if (!c->called)
    at = c->begun_us + MIN(FIRST_US, c->idle_us);
  else if (!fk_h2_calls(c->h2))
    at = g_get_monotonic_time() + c->idle_us;
  g_source_set_ready_time(c->idle, c->blocked_us ? c->blocked_us + TAKE_US : at);
}

/* What there is to say is said; the connection ends when both sides have no more to say. FALSE: it is gone.
 */
static gboolean go_on(FkH2Conn *c) {
  if (!write_some(c) || (!c->left && fk_h2_done(c->h2))) {
    finished(c);
    return FALSE;
  }
  rest(c);
  return TRUE;
}

static gboolean on_writable(GObject *stream, gpointer data) {
  FkH2Conn *c = data;
  drop(&c->out);
  go_on(c);
  return G_SOURCE_REMOVE;
}

static gboolean on_wake(gpointer data) {
  FkH2Conn *c = data;
  drop(&c->wake);
  go_on(c);
  return G_SOURCE_REMOVE;
}

void fk_h2_conn_wake(FkH2Conn *c) {
  if (c->wake)
    return;
  c->wake = g_idle_source_new();
  g_source_set_priority(c->wake, G_PRIORITY_DEFAULT);
  g_source_set_callback(c->wake, on_wake, c, NULL);
  g_source_attach(c->wake, g_main_context_get_thread_default());
}

/* ------------------------------------------------------------------ reading */

static gboolean on_readable(GObject *stream, gpointer data) {
  FkH2Conn *c = data;
  for (guint i = 0; i < READS_A_TURN; i++) {
    guint8 bytes[READ_BYTES];
    g_autoptr(GError) error = NULL;
    gssize n = g_pollable_input_stream_read_nonblocking(input(c), bytes, sizeof bytes, NULL, &error);
    if (n < 0 && g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      break;
    if (n <= 0) {
      finished(c);
      return G_SOURCE_REMOVE;
    }
    if (!fk_h2_receive(c->h2, bytes, (gsize)n)) {
      write_some(c); /* a last word why */
      finished(c);
      return G_SOURCE_REMOVE;
    }
  }
  return go_on(c) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static gboolean on_idle(gpointer data) {
  FkH2Conn *c = data;
  g_source_set_ready_time(c->idle, -1);
  if (c->told || !c->called || c->blocked_us) {
    finished(c);
    return G_SOURCE_REMOVE;
  }
  c->told = TRUE;
  fk_h2_goaway(c->h2);
  go_on(c);
  return G_SOURCE_CONTINUE;
}

static gboolean timed(GSource *source, GSourceFunc callback, gpointer data) { return callback(data); }
static GSourceFuncs timer = {.dispatch = timed};

FkH2Conn *fk_h2_conn_new(GIOStream *stream, const FkH2Limits *limits, const FkH2Calls *calls,
                         gpointer calls_data, gint64 idle_us, void (*over)(gpointer data, FkH2Conn *c),
                         gpointer data) {
  FkH2Conn *c = g_new0(FkH2Conn, 1);
  c->stream = g_object_ref(stream);
  c->h2 = fk_h2_new(limits, calls, calls_data);
  c->begun_us = g_get_monotonic_time();
  c->idle_us = idle_us;
  c->over = over;
  c->data = data;
  c->idle = g_source_new(&timer, sizeof(GSource));
  g_source_set_callback(c->idle, on_idle, c, NULL);
  g_source_attach(c->idle, g_main_context_get_thread_default());
  c->in = g_pollable_input_stream_create_source(input(c), NULL);
  g_source_set_callback(c->in, G_SOURCE_FUNC(on_readable), c, NULL);
  g_source_attach(c->in, g_main_context_get_thread_default());
  fk_h2_conn_wake(c);
  return c;
}
