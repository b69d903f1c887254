/* The state service's interface, and what our records look like in it. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

cJSON *fk_store_record_to_json(const FkRecord *r);
/* NULL when the value isn't one of ours. */
FkRecord *fk_store_record_from_json(const char *path, const cJSON *value);

char *fk_store_print_commit(const FkOutput *o);
FkStoreEvent *fk_store_parse_item(const cJSON *item);
GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *epoch);
GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *epoch);
FkRev fk_store_parse_epoch(const cJSON *o);
GPtrArray *fk_store_parse_failed(const cJSON *o);

/* The state service's side. Values pass through as JSON text. */
typedef struct {
  char *path;
  guint64 revision;
} FkStoreCondition;
typedef struct {
  char *path, *value; /* `value` NULL: delete */
  guint64 lease;
} FkTransactionWrite;
typedef struct {
  GArray *conditions; /* FkStoreCondition */
  GArray *changes;    /* FkTransactionWrite */
} FkStoreTransaction;
void fk_store_transaction_free(FkStoreTransaction *t);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkStoreTransaction, fk_store_transaction_free)
FkStoreTransaction *fk_store_parse_transaction(const char *body, gsize len); /* NULL: malformed */
/* One item of a list, or what a read answers. */
cJSON *fk_store_item_to_json(const char *path, const char *value, guint64 stamp, guint64 hold);
/* One event of a watch; `value` NULL: deleted. */
cJSON *fk_store_event_to_json(const char *path, const char *value, guint64 stamp);
char *fk_store_print_items(cJSON *items /* taken */, gboolean more, guint64 epoch);
char *fk_store_print_events(cJSON *events /* taken */, guint64 epoch);
char *fk_store_print_epoch(guint64 epoch);
char *fk_store_print_conflict(const GPtrArray *failed /* char* */, guint64 epoch);
char *fk_store_print_lease(guint64 hold);
gboolean fk_store_parse_ttl_s(const char *body, gsize len, double *out);
