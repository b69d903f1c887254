/* ByteStream.Read: sends a blob, or a range of a blob, in messages of at most MESSAGE_DATA_BYTES of data. The
 * data is compressed if the resource name has `compressed-blobs/zstd`. */
#include "remote_execution/cache_call.h"

#include <zstd.h>

#define READ_BYTES 65536 /* maximum number of bytes read from the blob at a time for compression */
#define MESSAGE_DATA_BYTES (512 * 1024)

struct FkDownload {
  FkBlobReader *reader;
  guint64 unread;            /* requested bytes that haven't been read from the blob */
  ZSTD_CStream *compressor;  /* NULL if the blob is sent uncompressed */
  gboolean compression_done; /* the end of the compressed frame has been produced */
};

void fk_download_free(FkDownload *download) {
  if (!download)
    return;
  fk_blob_reader_close(download->reader);
  ZSTD_freeCStream(download->compressor);
  g_free(download);
}

/* Reads up to `size` bytes of the blob. Returns the number of bytes read, 0 at the end of the requested
 * range, or < 0 if the blob can't be read.
 */
static gssize read_plain(FkDownload *download, guint8 *to, gsize size) {
  gssize n = fk_blob_reader_read(download->reader, to, (gsize)MIN(size, download->unread));
  download->unread -= (guint64)MAX(0, n);
  return n;
}

/* Compresses the bytes of one read into `out`, which has at least ZSTD_compressBound(READ_BYTES) bytes left.
 * zstd may also write bytes that it buffered in earlier calls. With `is_last`, ends the compressed frame and
 * sets `compression_done`; if `out` becomes full first, another call must continue. Returns FALSE if zstd
 * fails. */
static gboolean compress(FkDownload *download, ZSTD_inBuffer *in, ZSTD_outBuffer *out, gboolean is_last) {
  ZSTD_EndDirective directive = is_last ? ZSTD_e_end : ZSTD_e_continue;
  gsize remaining;
  do
    remaining = ZSTD_compressStream2(download->compressor, out, in, directive);
  while (!ZSTD_isError(remaining) && (in->pos < in->size || (is_last && remaining)) && out->pos < out->size);
  if (is_last && !remaining)
    download->compression_done = TRUE;
  return !ZSTD_isError(remaining);
}

/* Writes up to `size` bytes of the compressed blob to `to`. Returns the number of bytes written, or < 0 if
 * the blob can't be read or zstd fails. */
static gssize read_compressed(FkDownload *download, guint8 *to, gsize size) {
  ZSTD_outBuffer out = {to, size, 0};
  guint8 plain[READ_BYTES];
  gboolean is_last = FALSE;
  do {
    gssize n = download->unread ? read_plain(download, plain, sizeof plain) : 0;
    if (n < 0)
      return n;
    ZSTD_inBuffer in = {plain, (gsize)n, 0};
    is_last = !download->unread;
    if (!compress(download, &in, &out, is_last))
      return -1;
  } while (!is_last && out.size - out.pos >= ZSTD_compressBound(READ_BYTES));
  return (gssize)out.pos;
}

static gboolean is_complete(const FkDownload *download) {
  return download->compressor ? download->compression_done : download->unread == 0;
}

void fk_download_continue(FkCacheCall *call) {
  FkDownload *download = call->download;
  g_autofree guint8 *data = g_malloc(MESSAGE_DATA_BYTES);
  while (!is_complete(download)) {
    gssize n = download->compressor ? read_compressed(download, data, MESSAGE_DATA_BYTES)
                                    : read_plain(download, data, MESSAGE_DATA_BYTES);
    if (n < 0) {
      fk_cache_call_fail(call, FK_GRPC_DATA_LOSS, "the blob can't be read any more; it was dropped");
      return;
    }
    Rx__ReadResponse response = RX__READ_RESPONSE__INIT;
    response.data = (ProtobufCBinaryData){(gsize)n, data};
    if (n && !fk_cache_call_send(call, &response))
      return; /* on_writable() calls this function again */
  }
  fk_rpc_end(call->rpc, FK_GRPC_OK, NULL, NULL, 0);
}

/* Returns whether the request's offset and limit are valid. Otherwise ends the call with an error. */
static gboolean check_range(FkCacheCall *call, const Rx__ReadRequest *request, const FkResourceName *name) {
  if (request->read_offset < 0 || request->read_limit < 0 ||
      (guint64)request->read_offset > name->digest.size) {
    fk_cache_call_fail(call, FK_GRPC_OUT_OF_RANGE, "the offset or limit is out of the blob");
    return FALSE;
  }
  if (name->zstd && request->read_limit) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "a compressed blob is read to its end");
    return FALSE;
  }
  return TRUE;
}

void fk_cache_read(FkCacheCall *call, gpointer message) {
  const Rx__ReadRequest *request = message;
  FkResourceName name;
  if (!fk_resource_name_parse(request->resource_name, FK_RESOURCE_READ, &name)) {
    fk_cache_call_fail(call, FK_GRPC_INVALID_ARGUMENT, "no blob's name");
    return;
  }
  if (!fk_cache_call_check_instance(call, name.instance) || !check_range(call, request, &name))
    return;
  FkBlobReader *reader;
  FkBlobStatus status = fk_blob_store_open_reader(call->service->blobs, call->team, &name.digest,
                                                  (guint64)request->read_offset, &reader);
  if (status != FK_BLOB_STATUS_OK) {
    fk_cache_call_fail_blob(call, status);
    return;
  }
  guint64 available = name.digest.size - (guint64)request->read_offset;
  FkDownload *download = g_new0(FkDownload, 1);
  download->reader = reader;
  download->unread = request->read_limit ? MIN(available, (guint64)request->read_limit) : available;
  download->compressor = name.zstd ? ZSTD_createCStream() : NULL;
  call->download = download;
  fk_download_continue(call);
}
