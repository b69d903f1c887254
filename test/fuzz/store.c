/* The store's codec: what was read as one of our records is written so that it reads the same again. */
#include "fuzz.h"

#include "wire/store.h"

static void check(const FkStoreEvent *e) {
  FK_HOLDS(e->path);
  if (!e->record)
    return;
  g_autoptr(cJSON) once = fk_store_record_to_json(e->record);
  g_autofree char *a = fk_json_print(once);
  g_autoptr(cJSON) parsed = fk_json_parse(a, strlen(a));
  FkRecord *again = fk_store_record_from_json(e->path, parsed);
  FK_HOLDS(again);
  g_autoptr(cJSON) twice = fk_store_record_to_json(again);
  g_autofree char *b = fk_json_print(twice);
  FK_HOLDS(strcmp(a, b) == 0);
  fk_record_free(again);
}

static GLogWriterOutput hush(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data) {
  return G_LOG_WRITER_HANDLED;
}

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  static gsize hushed;
  if (g_once_init_enter(&hushed)) { /* it says of each record that isn't ours that it isn't */
    g_log_set_writer_func(hush, NULL, NULL);
    g_once_init_leave(&hushed, 1);
  }
  if (!size)
    return 0;
  const char *text = (const char *)data + 1;
  FkRev epoch = {0};
  gboolean more = FALSE;
  g_autoptr(GPtrArray) events = data[0] & 1 ? fk_store_parse_list(text, size - 1, &more, &epoch)
                                            : fk_store_parse_watch(text, size - 1, &epoch);
  for (guint i = 0; events && i < events->len; i++)
    check(events->pdata[i]);
  g_autoptr(cJSON) j = fk_json_parse(text, size - 1);
  GPtrArray *failed = fk_store_parse_failed(j);
  if (failed)
    g_ptr_array_unref(failed);
  fk_store_parse_revision(j);
  FkStoreEvent *item = fk_store_parse_item(j);
  if (item) {
    check(item);
    fk_store_event_free(item);
  }
  return 0;
}
