/* The state service's side of its interface, for the simulated one. Values pass through as JSON text. */
#pragma once
#include "wire/json.h"

typedef struct {
  char *path;
  guint64 revision; /* 0: there must be no such key */
} FkStoreCondition;
typedef struct {
  char *path, *value; /* `value` NULL: delete */
  guint64 lease;      /* 0: none */
} FkTransactionWrite;
typedef struct {
  GArray *conditions; /* FkStoreCondition */
  GArray *changes;    /* FkTransactionWrite */
} FkStoreTransaction;
void fk_store_transaction_free(FkStoreTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkStoreTransaction, fk_store_transaction_free)

/* NULL: malformed. */
FkStoreTransaction *fk_store_parse_transaction(const char *body, gsize len);
/* FALSE: malformed, or out of bounds. */
gboolean fk_store_parse_ttl_s(const char *body, gsize len, double *out);

/* One item of a list, or what a read returns. */
cJSON *fk_store_item_to_json(const char *path, const char *value, guint64 revision, guint64 lease);
/* One event of a watch; `value` NULL: deleted. */
cJSON *fk_store_event_to_json(const char *path, const char *value, guint64 revision);

/* Responses, to be freed. */
char *fk_store_print_items(cJSON *items /* taken */, gboolean more, guint64 epoch);
char *fk_store_print_events(cJSON *events /* taken */, guint64 epoch);
char *fk_store_print_revision(guint64 epoch);
/* `failed`: char*, the paths of the conditions that don't hold. */
char *fk_store_print_conflict(const GPtrArray *failed, guint64 epoch);
char *fk_store_print_lease(guint64 lease);
