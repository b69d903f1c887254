/* Wire format of the key-value store's API, on the controller's side: request bodies and responses. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"
#include "wire/store_records.h"

/* ---- request bodies ---- */
/* Prints the transaction that an FK_OUTPUT_COMMIT describes; the caller frees the body. */
char *fk_store_print_commit(const FkOutput *output);
/* Prints a request for a lease with a time to live of `ttl_s` seconds; the caller frees the body. */
char *fk_store_print_ttl(double ttl_s);

/* ---- responses; `json` may be NULL ---- */
/* Returns the store's revision that the response states; 0 if the response states none. */
FkRev fk_store_parse_revision(const cJSON *json);
/* Returns the paths (char*) of the transaction's conditions that failed, in an array that the caller owns.
 * The array is empty if the response lists no failed condition. */
GPtrArray *fk_store_parse_failed(const cJSON *json);
/* Sets `lease` to the id of the granted lease. Returns FALSE if the response has no lease id. */
gboolean fk_store_parse_lease(const cJSON *json, FkRev *lease);
/* Parses one item of a list, or the response to a read, into an event that the caller owns. Returns NULL if
 * `item` has no path. If the value isn't a valid record, the event's record is NULL, and a warning is
 * logged. */
FkStoreEvent *fk_store_parse_item(const cJSON *item);
/* Parses one page of a list into an array of FkStoreEvent, which the caller owns. Sets `more` to whether
 * another page follows, and `revision` to the store's revision. Returns NULL if the body is malformed. Items
 * without a path are left out. If the value of an item isn't a valid record, logs a warning and sets the
 * event's record to NULL. */
GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *revision);
/* Parses the response to a watch into an array of FkStoreEvent, which the caller owns. Sets `revision` to the
 * store's revision. Returns NULL if the body is malformed. The record of a deletion is NULL. Events without a
 * path are left out. An event whose value isn't a valid record is left out too, and a warning is logged. */
GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *revision);
