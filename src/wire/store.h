/* Wire format of the key-value store's API, on the controller's side: request bodies and responses. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"
#include "wire/store_records.h"

/* ---- request bodies, freed by the caller ---- */
/* Prints a transaction for an FK_OUTPUT_COMMIT. */
char *fk_store_print_commit(const FkOutput *output);
/* Prints a request for a lease with a time to live of `ttl_s` seconds. */
char *fk_store_print_ttl(double ttl_s);

/* ---- responses; `json` may be NULL ---- */
/* Returns the store's revision as of the response; 0 if the response has none. */
FkRev fk_store_parse_epoch(const cJSON *json);
/* Returns the paths (char*) whose guards failed, an array that the caller owns; empty if there are none. */
GPtrArray *fk_store_parse_failed(const cJSON *json);
/* Returns FALSE if the response has no lease id. */
gboolean fk_store_parse_lease(const cJSON *json, FkRev *lease);
/* Parses one item of a list, or the response to a read; returns NULL if `item` is neither. If the value isn't
 * a valid record, the event's record is NULL and a warning is logged. */
FkStoreEvent *fk_store_parse_item(const cJSON *item);
/* Parses one page of a list into FkStoreEvents, an array that the caller owns; returns NULL if the body is
 * malformed. Sets `more` to whether another page follows, and `revision` to the store's revision. */
GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *revision);
/* Parses the response to a watch like fk_store_parse_list(), except that an event whose value isn't a valid
 * record is logged and left out. */
GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *revision);
