#include "net/stream.h"

/* A source that is ready when the connection can be read or, if `output` is set, can be written. */
typedef struct {
  GSource source;
  FkConnection *connection;
  gboolean output;
} ReadySource;

static gboolean is_ready(const ReadySource *ready) {
  return ready->output ? fk_connection_can_write(ready->connection)
                       : fk_connection_can_read(ready->connection);
}

static gboolean ready_prepare(GSource *source, gint *timeout) {
  *timeout = -1;
  return is_ready((ReadySource *)source);
}

static gboolean ready_check(GSource *source) { return is_ready((ReadySource *)source); }

static gboolean ready_dispatch(GSource *source, GSourceFunc callback, gpointer data) {
  return callback ? callback(data) : G_SOURCE_CONTINUE;
}

static void ready_finalize(GSource *source) { fk_connection_unref(((ReadySource *)source)->connection); }

static gboolean continue_source(gpointer data) { return G_SOURCE_CONTINUE; }

static GSourceFuncs ready_funcs = {.prepare = ready_prepare,
                                   .check = ready_check,
                                   .dispatch = ready_dispatch,
                                   .finalize = ready_finalize,
                                   .closure_callback = continue_source};

static GSource *ready_source(gpointer stream, FkConnection *connection, gboolean output,
                             GCancellable *cancellable) {
  g_autoptr(GSource) source = g_source_new(&ready_funcs, sizeof(ReadySource));
  ((ReadySource *)source)->connection = fk_connection_ref(connection);
  ((ReadySource *)source)->output = output;
  return g_pollable_source_new_full(stream, source, cancellable);
}

/* Converts a result of fk_connection_read() or fk_connection_write() to that of a GIO stream: a number of
 * bytes, or -1 with `error` set. */
static gssize to_stream_result(gssize result, GError **error) {
  if (result == FK_CONNECTION_WOULD_BLOCK)
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "operation would block");
  else if (result == FK_CONNECTION_BROKEN)
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_BROKEN_PIPE, "connection closed");
  return result < 0 ? -1 : result;
}

/* ------------------------------------------------------------------ input */

typedef struct {
  GInputStream parent;
  FkConnection *connection;
} FkStreamInput;
typedef struct {
  GInputStreamClass parent;
} FkStreamInputClass;

static GType fk_stream_input_get_type(void);

static gssize input_read(GInputStream *stream, void *to, gsize len, GCancellable *cancellable,
                         GError **error) {
  return to_stream_result(fk_connection_read(((FkStreamInput *)stream)->connection, to, len), error);
}

static gssize input_read_nonblocking(GPollableInputStream *stream, void *to, gsize len, GError **error) {
  return to_stream_result(fk_connection_read(((FkStreamInput *)stream)->connection, to, len), error);
}

static gboolean input_is_readable(GPollableInputStream *stream) {
  return fk_connection_can_read(((FkStreamInput *)stream)->connection);
}

static GSource *input_source(GPollableInputStream *stream, GCancellable *cancellable) {
  fk_connection_want_read(((FkStreamInput *)stream)->connection);
  return ready_source(stream, ((FkStreamInput *)stream)->connection, FALSE, cancellable);
}

static void input_pollable(GPollableInputStreamInterface *interface) {
  interface->is_readable = input_is_readable;
  interface->create_source = input_source;
  interface->read_nonblocking = input_read_nonblocking;
}

G_DEFINE_TYPE_WITH_CODE(FkStreamInput, fk_stream_input, G_TYPE_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM, input_pollable))

static void fk_stream_input_init(FkStreamInput *stream) {}

static void input_finalize(GObject *object) {
  fk_connection_unref(((FkStreamInput *)object)->connection);
  G_OBJECT_CLASS(fk_stream_input_parent_class)->finalize(object);
}

static void fk_stream_input_class_init(FkStreamInputClass *klass) {
  G_OBJECT_CLASS(klass)->finalize = input_finalize;
  G_INPUT_STREAM_CLASS(klass)->read_fn = input_read;
}

/* ------------------------------------------------------------------ output */

typedef struct {
  GOutputStream parent;
  FkConnection *connection;
} FkStreamOutput;
typedef struct {
  GOutputStreamClass parent;
} FkStreamOutputClass;

static GType fk_stream_output_get_type(void);

static gssize output_write(GOutputStream *stream, const void *from, gsize len, GCancellable *cancellable,
                           GError **error) {
  return to_stream_result(fk_connection_write(((FkStreamOutput *)stream)->connection, from, len), error);
}

static gssize output_write_nonblocking(GPollableOutputStream *stream, const void *from, gsize len,
                                       GError **error) {
  return to_stream_result(fk_connection_write(((FkStreamOutput *)stream)->connection, from, len), error);
}

static gboolean output_is_writable(GPollableOutputStream *stream) {
  return fk_connection_can_write(((FkStreamOutput *)stream)->connection);
}

static GSource *output_source(GPollableOutputStream *stream, GCancellable *cancellable) {
  return ready_source(stream, ((FkStreamOutput *)stream)->connection, TRUE, cancellable);
}

static void output_pollable(GPollableOutputStreamInterface *interface) {
  interface->is_writable = output_is_writable;
  interface->create_source = output_source;
  interface->write_nonblocking = output_write_nonblocking;
}

G_DEFINE_TYPE_WITH_CODE(FkStreamOutput, fk_stream_output, G_TYPE_OUTPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_OUTPUT_STREAM, output_pollable))

static void fk_stream_output_init(FkStreamOutput *stream) {}

static void output_finalize(GObject *object) {
  fk_connection_unref(((FkStreamOutput *)object)->connection);
  G_OBJECT_CLASS(fk_stream_output_parent_class)->finalize(object);
}

static void fk_stream_output_class_init(FkStreamOutputClass *klass) {
  G_OBJECT_CLASS(klass)->finalize = output_finalize;
  G_OUTPUT_STREAM_CLASS(klass)->write_fn = output_write;
}

/* ------------------------------------------------------------------ both directions */

typedef struct {
  GIOStream parent;
  FkConnection *connection;
  FkStreamInput *in;
  FkStreamOutput *out;
} FkStream;
typedef struct {
  GIOStreamClass parent;
} FkStreamClass;

static GType fk_stream_get_type(void);
G_DEFINE_TYPE(FkStream, fk_stream, G_TYPE_IO_STREAM)

static void fk_stream_init(FkStream *stream) {}

static GInputStream *stream_in(GIOStream *stream) { return (GInputStream *)((FkStream *)stream)->in; }
static GOutputStream *stream_out(GIOStream *stream) { return (GOutputStream *)((FkStream *)stream)->out; }

static gboolean stream_close(GIOStream *stream, GCancellable *cancellable, GError **error) {
  fk_connection_stream_closed(((FkStream *)stream)->connection);
  return TRUE;
}

/* Closing never blocks, so it does not need the worker thread that is GIO's default. */
static void stream_close_async(GIOStream *stream, int priority, GCancellable *cancellable,
                               GAsyncReadyCallback callback, gpointer data) {
  g_autoptr(GTask) task = g_task_new(stream, cancellable, callback, data);
  fk_connection_stream_closed(((FkStream *)stream)->connection);
  g_task_return_boolean(task, TRUE);
}

static gboolean stream_close_finish(GIOStream *stream, GAsyncResult *result, GError **error) {
  return g_task_propagate_boolean(G_TASK(result), error);
}

static void stream_dispose(GObject *object) {
  FkStream *stream = (FkStream *)object;
  if (stream->connection)
    fk_connection_stream_closed(stream->connection);
  g_clear_object(&stream->in);
  g_clear_object(&stream->out);
  g_clear_pointer(&stream->connection, fk_connection_unref);
  G_OBJECT_CLASS(fk_stream_parent_class)->dispose(object);
}

static void fk_stream_class_init(FkStreamClass *klass) {
  GIOStreamClass *stream_class = G_IO_STREAM_CLASS(klass);
  G_OBJECT_CLASS(klass)->dispose = stream_dispose;
  stream_class->get_input_stream = stream_in;
  stream_class->get_output_stream = stream_out;
  stream_class->close_fn = stream_close;
  stream_class->close_async = stream_close_async;
  stream_class->close_finish = stream_close_finish;
}

GIOStream *fk_stream_new(FkConnection *connection) {
  FkStream *stream = g_object_new(fk_stream_get_type(), NULL);
  stream->connection = fk_connection_ref(connection);
  stream->in = g_object_new(fk_stream_input_get_type(), NULL);
  stream->in->connection = fk_connection_ref(connection);
  stream->out = g_object_new(fk_stream_output_get_type(), NULL);
  stream->out->connection = fk_connection_ref(connection);
  return (GIOStream *)stream;
}
