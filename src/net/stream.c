/* A connection as a GIOStream: non-blocking both ways, ready when the door says so. There is no file
 * descriptor in the main loop for it: a turn costs no more with a thousand idle connections. */
#include "net/connection.h"

typedef struct {
  GSource source;
  FkConn *conn;
  gboolean output;
} Ready;

static gboolean is_ready(const Ready *r) {
  return r->output ? fk_conn_can_write(r->conn) : fk_conn_can_read(r->conn);
}

static gboolean ready_prepare(GSource *source, gint *timeout) {
  *timeout = -1;
  return is_ready((Ready *)source);
}

static gboolean ready_check(GSource *source) { return is_ready((Ready *)source); }

static gboolean ready_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  return callback ? callback(data) : G_SOURCE_CONTINUE;
}

static void ready_finalize(GSource *source) { fk_conn_unref(((Ready *)source)->conn); }

static gboolean stay(gpointer data) { return G_SOURCE_CONTINUE; }

static GSourceFuncs ready_funcs = {.prepare = ready_prepare,
                                   .check = ready_check,
                                   .dispatch = ready_dispatch,
                                   .finalize = ready_finalize,
                                   .closure_callback = stay};

static GSource *ready_source(gpointer stream, FkConn *c, gboolean output, GCancellable *cancellable) {
  g_autoptr(GSource) source = g_source_new(&ready_funcs, sizeof(Ready));
  ((Ready *)source)->conn = fk_conn_ref(c);
  ((Ready *)source)->output = output;
  return g_pollable_source_new_full(stream, source, cancellable);
}

static gssize told(gssize n, GError **error) {
  if (n == FK_CONN_LATER)
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "later");
  else if (n == FK_CONN_GONE)
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE, "the other end is gone");
  return n < 0 ? -1 : n;
}

/* ------------------------------------------------------------------ input */

typedef struct {
  GInputStream parent;
  FkConn *conn;
} FkStreamIn;
typedef struct {
  GInputStreamClass parent;
} FkStreamInClass;

static GType fk_stream_in_get_type(void);

static gssize in_read(GInputStream *s, void *to, gsize len, GCancellable *c, GError **error) {
  return told(fk_conn_read(((FkStreamIn *)s)->conn, to, len), error);
}

static gssize in_read_now(GPollableInputStream *s, void *to, gsize len, GError **error) {
  return told(fk_conn_read(((FkStreamIn *)s)->conn, to, len), error);
}

static gboolean in_can(GPollableInputStream *s) { return fk_conn_can_read(((FkStreamIn *)s)->conn); }

static GSource *in_source(GPollableInputStream *s, GCancellable *c) {
  fk_conn_wants(((FkStreamIn *)s)->conn);
  return ready_source(s, ((FkStreamIn *)s)->conn, FALSE, c);
}

static void in_pollable(GPollableInputStreamInterface *i) {
  i->is_readable = in_can;
  i->create_source = in_source;
  i->read_nonblocking = in_read_now;
}

G_DEFINE_TYPE_WITH_CODE(FkStreamIn, fk_stream_in, G_TYPE_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM, in_pollable))

static void fk_stream_in_init(FkStreamIn *s) {}

static void in_finalize(GObject *o) {
  fk_conn_unref(((FkStreamIn *)o)->conn);
  G_OBJECT_CLASS(fk_stream_in_parent_class)->finalize(o);
}

static void fk_stream_in_class_init(FkStreamInClass *k) {
  G_OBJECT_CLASS(k)->finalize = in_finalize;
  G_INPUT_STREAM_CLASS(k)->read_fn = in_read;
}

/* ------------------------------------------------------------------ output */

typedef struct {
  GOutputStream parent;
  FkConn *conn;
} FkStreamOut;
typedef struct {
  GOutputStreamClass parent;
} FkStreamOutClass;

static GType fk_stream_out_get_type(void);

static gssize out_write(GOutputStream *s, const void *from, gsize len, GCancellable *c, GError **error) {
  return told(fk_conn_write(((FkStreamOut *)s)->conn, from, len), error);
}

static gssize out_write_now(GPollableOutputStream *s, const void *from, gsize len, GError **error) {
  return told(fk_conn_write(((FkStreamOut *)s)->conn, from, len), error);
}

static gboolean out_can(GPollableOutputStream *s) { return fk_conn_can_write(((FkStreamOut *)s)->conn); }

static GSource *out_source(GPollableOutputStream *s, GCancellable *c) {
  return ready_source(s, ((FkStreamOut *)s)->conn, TRUE, c);
}

static void out_pollable(GPollableOutputStreamInterface *i) {
  i->is_writable = out_can;
  i->create_source = out_source;
  i->write_nonblocking = out_write_now;
}

G_DEFINE_TYPE_WITH_CODE(FkStreamOut, fk_stream_out, G_TYPE_OUTPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_OUTPUT_STREAM, out_pollable))

static void fk_stream_out_init(FkStreamOut *s) {}

static void out_finalize(GObject *o) {
  fk_conn_unref(((FkStreamOut *)o)->conn);
  G_OBJECT_CLASS(fk_stream_out_parent_class)->finalize(o);
}

static void fk_stream_out_class_init(FkStreamOutClass *k) {
  G_OBJECT_CLASS(k)->finalize = out_finalize;
  G_OUTPUT_STREAM_CLASS(k)->write_fn = out_write;
}

/* ------------------------------------------------------------------ both */

typedef struct {
  GIOStream parent;
  FkConn *conn;
  FkStreamIn *in;
  FkStreamOut *out;
} FkStream;
typedef struct {
  GIOStreamClass parent;
} FkStreamClass;

static GType fk_stream_get_type(void);
G_DEFINE_TYPE(FkStream, fk_stream, G_TYPE_IO_STREAM)

static void fk_stream_init(FkStream *s) {}

static GInputStream *stream_in(GIOStream *s) { return (GInputStream *)((FkStream *)s)->in; }
static GOutputStream *stream_out(GIOStream *s) { return (GOutputStream *)((FkStream *)s)->out; }

static gboolean stream_close(GIOStream *s, GCancellable *c, GError **error) {
  fk_conn_closed(((FkStream *)s)->conn);
  return TRUE;
}

/* The usual way of closing asynchronously is a thread; there is nothing here to wait for. */
static void stream_close_async(GIOStream *s, int priority, GCancellable *c, GAsyncReadyCallback callback,
                               gpointer data) {
  g_autoptr(GTask) task = g_task_new(s, c, callback, data);
  fk_conn_closed(((FkStream *)s)->conn);
  g_task_return_boolean(task, TRUE);
}

static gboolean stream_close_finish(GIOStream *s, GAsyncResult *result, GError **error) {
  return g_task_propagate_boolean(G_TASK(result), error);
}

static void stream_dispose(GObject *o) {
  FkStream *s = (FkStream *)o;
  if (s->conn)
    fk_conn_closed(s->conn);
  g_clear_object(&s->in);
  g_clear_object(&s->out);
  g_clear_pointer(&s->conn, fk_conn_unref);
  G_OBJECT_CLASS(fk_stream_parent_class)->dispose(o);
}

static void fk_stream_class_init(FkStreamClass *k) {
  GIOStreamClass *io = G_IO_STREAM_CLASS(k);
  G_OBJECT_CLASS(k)->dispose = stream_dispose;
  io->get_input_stream = stream_in;
  io->get_output_stream = stream_out;
  io->close_fn = stream_close;
  io->close_async = stream_close_async;
  io->close_finish = stream_close_finish;
}

GIOStream *fk_stream_new(FkConn *c) {
  FkStream *s = g_object_new(fk_stream_get_type(), NULL);
  s->conn = fk_conn_ref(c);
  s->in = g_object_new(fk_stream_in_get_type(), NULL);
  s->in->conn = fk_conn_ref(c);
  s->out = g_object_new(fk_stream_out_get_type(), NULL);
  s->out->conn = fk_conn_ref(c);
  return (GIOStream *)s;
}
