/* gRPC over HTTP/2: whatever comes, calls begin and end once, what is held stays within its bound, and what
 * is said has an end. The connection's preface is sent for the fuzzer, it won't find it. */
#include "fuzz.h"

#include "grpc/h2.h"

typedef struct {
  guint begun, over, messages;
} Seen;

static void begin(gpointer data, FkRpc *r) {
  Seen *s = data;
  s->begun++;
  fk_rpc_set_data(r, s);
  FK_HOLDS(fk_rpc_path(r) && fk_rpc_data(r) == s);
}

static void message(gpointer data, FkRpc *r, const guint8 *bytes, gsize len) {
  Seen *s = data;
  s->messages++;
  FK_HOLDS(len <= 1000 && !fk_rpc_ended(r));
  if (!fk_rpc_send(r, bytes, len) || s->messages % 3 == 0)
    fk_rpc_end(r, FK_GRPC_ABORTED, "100% \xff", bytes, MIN(len, 9));
}

static void half(gpointer data, FkRpc *r) { fk_rpc_end(r, FK_GRPC_OK, NULL, NULL, 0); }
static void room(gpointer data, FkRpc *r) { FK_HOLDS(!fk_rpc_ended(r)); }
static void over(gpointer data, FkRpc *r) { ((Seen *)data)->over++; }

static const FkH2Callbacks calls = {begin, message, half, room, over};
static const FkH2Limits limits = {
    .streams = 8, .message_bytes = 1000, .buffered_bytes = 3000, .queued_bytes = 500, .header_bytes = 2000};

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0";
  Seen seen = {0};
  const guint8 *out;
  gsize said = 0, n;
  FkH2Session *h = fk_h2_session_new(&limits, &calls, &seen);
  gboolean going = fk_h2_session_receive(h, (const guint8 *)preface, sizeof preface - 1);
  gsize piece = size ? 1 + data[0] : 1;
  for (gsize at = 1; at < size && going; at += piece) {
    going = fk_h2_session_receive(h, data + at, MIN(piece, size - at));
    while ((n = fk_h2_session_next_output(h, &out)))
      said += n;
    FK_HOLDS(fk_h2_session_buffered_bytes(h) <= limits.buffered_bytes + 1100 &&
             fk_h2_session_calls(h) <= limits.streams + 1);
    FK_HOLDS(said <= 100000 + 200 * size);
  }
  fk_h2_session_free(h);
  FK_HOLDS(seen.begun == seen.over);
  return 0;
}
