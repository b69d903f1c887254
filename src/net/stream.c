/* A connection as a GIOStream: non-blocking both ways, ready when the door says so. There is no file
 * descriptor in the main loop for it: a turn costs no more with a thousand idle connections. */
#include "net/connection.h"

typedef struct {
  GSource source;
  FkConnection *conn;
  gboolean output;
} Ready;

static gboolean is_ready(const Ready *r) {
  return r->output ? fk_connection_can_write(r->conn) : fk_connection_can_read(r->conn);
}

static gboolean ready_prepare(GSource *source, gint *timeout) {
  *timeout = -1;
  return is_ready((Ready *)source);
}

static gboolean ready_check(GSource *source) { return is_ready((Ready *)source); }

static gboolean ready_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  return callback ? callback(data) : G_SOURCE_CONTINUE;
}

static void ready_finalize(GSource *source) { fk_connection_unref(((Ready *)source)->conn); }

static gboolean continue_source(gpointer data) { return G_SOURCE_CONTINUE; }

static GSourceFuncs ready_funcs = {.prepare = ready_prepare,
                                   .check = ready_check,
                                   .dispatch = ready_dispatch,
                                   .finalize = ready_finalize,
                                   .closure_callback = continue_source};

static GSource *ready_source(gpointer stream, FkConnection *c, gboolean output, GCancellable *cancellable) {
  g_autoptr(GSource) source = g_source_new(&ready_funcs, sizeof(Ready));
  ((Ready *)source)->conn = fk_connection_ref(c);
  ((Ready *)source)->output = output;
  return g_pollable_source_new_full(stream, source, cancellable);
}

static gssize set_error(gssize n, GError **error) {
  if (n == FK_CONNECTION_WOULD_BLOCK)
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "later");
  else if (n == FK_CONNECTION_BROKEN)
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE, "the other end is gone");
  return n < 0 ? -1 : n;
}

/* ------------------------------------------------------------------ input */

typedef struct {
  GInputStream parent;
  FkConnection *conn;
} FkStreamIn;
typedef struct {
  GInputStreamClass parent;
} FkStreamInClass;

static GType fk_stream_in_get_type(void);

static gssize in_read(GInputStream *s, void *to, gsize len, GCancellable *c, GError **error) {
  return set_error(fk_connection_read(((FkStreamIn *)s)->conn, to, len), error);
}

static gssize in_read_now(GPollableInputStream *s, void *to, gsize len, GError **error) {
  return set_error(fk_connection_read(((FkStreamIn *)s)->conn, to, len), error);
}

static gboolean in_is_readable(GPollableInputStream *s) {
  return fk_connection_can_read(((FkStreamIn *)s)->conn);
}

static GSource *in_source(GPollableInputStream *s, GCancellable *c) {
  fk_connection_want_read(((FkStreamIn *)s)->conn);
  return ready_source(s, ((FkStreamIn *)s)->conn, FALSE, c);
}

static void in_pollable(GPollableInputStreamInterface *i) {
  i->is_readable = in_is_readable;
  i->create_source = in_source;
  i->read_nonblocking = in_read_now;
}

G_DEFINE_TYPE_WITH_CODE(FkStreamIn, fk_stream_in, G_TYPE_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM, in_pollable))

static void fk_stream_in_init(FkStreamIn *s) {}

static void in_finalize(GObject *o) {
  fk_connection_unref(((FkStreamIn *)o)->conn);
  G_OBJECT_CLASS(fk_stream_in_parent_class)->finalize(o);
}

static void fk_stream_in_class_init(FkStreamInClass *k) {
  G_OBJECT_CLASS(k)->finalize = in_finalize;
  G_INPUT_STREAM_CLASS(k)->read_fn = in_read;
}

/* ------------------------------------------------------------------ output */

typedef struct {
  GOutputStream parent;
  FkConnection *conn;
} FkStreamOut;
typedef struct {
  GOutputStreamClass parent;
} FkStreamOutClass;

static GType fk_stream_out_get_type(void);

static gssize out_write(GOutputStream *s, const void *from, gsize len, GCancellable *c, GError **error) {
  return set_error(fk_connection_write(((FkStreamOut *)s)->conn, from, len), error);
}

static gssize out_write_now(GPollableOutputStream *s, const void *from, gsize len, GError **error) {
  return set_error(fk_connection_write(((FkStreamOut *)s)->conn, from, len), error);
}

static gboolean out_is_writable(GPollableOutputStream *s) {
  return fk_connection_can_write(((FkStreamOut *)s)->conn);
}

static GSource *out_source(GPollableOutputStream *s, GCancellable *c) {
  return ready_source(s, ((FkStreamOut *)s)->conn, TRUE, c);
}

static void out_pollable(GPollableOutputStreamInterface *i) {
  i->is_writable = out_is_writable;
  i->create_source = out_source;
  i->write_nonblocking = out_write_now;
}

G_DEFINE_TYPE_WITH_CODE(FkStreamOut, fk_stream_out, G_TYPE_OUTPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_OUTPUT_STREAM, out_pollable))

static void fk_stream_out_init(FkStreamOut *s) {}

static void out_finalize(GObject *o) {
  fk_connection_unref(((FkStreamOut *)o)->conn);
  G_OBJECT_CLASS(fk_stream_out_parent_class)->finalize(o);
}

static void fk_stream_out_class_init(FkStreamOutClass *k) {
  G_OBJECT_CLASS(k)->finalize = out_finalize;
  G_OUTPUT_STREAM_CLASS(k)->write_fn = out_write;
}

/* ------------------------------------------------------------------ both */

typedef struct {
  GIOStream parent;
  FkConnection *conn;
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
  fk_connection_stream_closed(((FkStream *)s)->conn);
  return TRUE;
}

/* The usual way of closing asynchronously is a thread; there is nothing here to wait for. */
static void stream_close_async(GIOStream *s, int priority, GCancellable *c, GAsyncReadyCallback callback,
                               gpointer data) {
  g_autoptr(GTask) task = g_task_new(s, c, callback, data);
  fk_connection_stream_closed(((FkStream *)s)->conn);
  g_task_return_boolean(task, TRUE);
}

static gboolean stream_close_finish(GIOStream *s, GAsyncResult *result, GError **error) {
  return g_task_propagate_boolean(G_TASK(result), error);
}

static void stream_dispose(GObject *o) {
  FkStream *s = (FkStream *)o;
  if (s->conn)
    fk_connection_stream_closed(s->conn);
  g_clear_object(&s->in);
  g_clear_object(&s->out);
  g_clear_pointer(&s->conn, fk_connection_unref);
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

GIOStream *fk_stream_new(FkConnection *c) {
  FkStream *s = g_object_new(fk_stream_get_type(), NULL);
  s->conn = fk_connection_ref(c);
  s->in = g_object_new(fk_stream_in_get_type(), NULL);
  s->in->conn = fk_connection_ref(c);
  s->out = g_object_new(fk_stream_out_get_type(), NULL);
  s->out->conn = fk_connection_ref(c);
  return (GIOStream *)s;
}
