/* Wire format of the key-value store's API, on the controller's side: request bodies and responses. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"
#include "wire/store_records.h"

/* ---- request bodies, freed by the caller ---- */
/* Prints the transaction that an FK_OUTPUT_COMMIT describes. */
char *fk_store_print_commit(const FkOutput *output);
/* Prints a request for a lease with a time to live of `ttl_s` seconds. */
char *fk_store_print_ttl(double ttl_s);

/* ---- responses; `json` may be NULL ---- */
/* Returns the store's revision as of the response; 0 if the response has none. */
FkRev fk_store_parse_epoch(const cJSON *json);
/* Returns the paths (char*) of the transaction's guards that failed, an array that the caller owns; empty if
 * no guard failed. */
GPtrArray *fk_store_parse_failed(const cJSON *json);
/* Sets `lease` to the id of the granted lease. Returns FALSE if the response has none. */
gboolean fk_store_parse_lease(const cJSON *json, FkRev *lease);
/* Parses one item of a list, or the response to a read; returns NULL if `item` has no path. The caller owns
 * the event. If the value isn't a valid record, a warning is logged and the event's record is NULL. */
FkStoreEvent *fk_store_parse_item(const cJSON *item);
/* Parses one page of a list into FkStoreEvents, an array that the caller owns; returns NULL if the body is
 * malformed. Sets `more` to whether another page follows, and `revision` to the store's revision. The
 * record of an item whose value isn't a valid record is NULL, and a warning is logged. */
GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *revision);
/* Parses the response to a watch into FkStoreEvents, an array that the caller owns; returns NULL if the body
 * is malformed. Sets `revision` to the store's revision. The record of a deletion is NULL; an event whose
 * value isn't a valid record is logged and left out. */
GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *revision);
