/* Wire format of the key-value store's API, on the store's side; used by the simulated store. Values are
 * passed through as JSON text. */
#pragma once
#include "wire/json.h"

/* A condition of a transaction: a key has a given revision, or doesn't exist. */
typedef struct {
  char *path;
  guint64 revision; /* revision that the key must have; 0 if the key must not exist */
} FkStoreCondition;
/* A write of a transaction: puts or deletes a key. */
typedef struct {
  char *path, *value; /* `value` is JSON text; NULL to delete the key */
  guint64 lease;      /* lease to which the key is attached; 0 if none */
} FkTransactionWrite;
/* A transaction: all writes are applied if all conditions hold, otherwise none. */
typedef struct {
  GArray *conditions; /* FkStoreCondition */
  GArray *changes;    /* FkTransactionWrite */
} FkStoreTransaction;
void fk_store_transaction_free(FkStoreTransaction *transaction);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(FkStoreTransaction, fk_store_transaction_free)

/* Parses a transaction; the caller frees the result. Returns NULL if the body is malformed. */
FkStoreTransaction *fk_store_parse_transaction(const char *body, gsize len);
/* Parses a request for a lease. Sets `out` to the time to live in seconds. Returns FALSE if the time is
 * missing or isn't from 0.1 to 600 s. */
gboolean fk_store_parse_ttl_s(const char *body, gsize len, double *out);

/* Creates one item of a list, or the response to a read; the caller owns the result. `value` is JSON text;
 * `lease` is the lease to which the key is attached, 0 if none. */
cJSON *fk_store_item_to_json(const char *path, const char *value, guint64 revision, guint64 lease);
/* Creates one event of a watch; the caller owns the result. `value` is JSON text; NULL if the key was
 * deleted. */
cJSON *fk_store_event_to_json(const char *path, const char *value, guint64 revision);

/* Print response bodies, which the caller frees. `revision` is the store's revision; `more` says whether
 * another page of the list follows. */
char *fk_store_print_items(cJSON *items /* ownership passes to the callee */, gboolean more,
                           guint64 revision);
char *fk_store_print_events(cJSON *events /* ownership passes to the callee */, guint64 revision);
char *fk_store_print_revision(guint64 revision);
/* Prints the response to a transaction that wasn't committed; the caller frees the body. `failed` holds the
 * paths (char*) of the conditions that failed. */
char *fk_store_print_conflict(const GPtrArray *failed, guint64 revision);
/* Prints the response to a request for a lease; the caller frees the body. `lease` is the lease's id. */
char *fk_store_print_lease(guint64 lease);
