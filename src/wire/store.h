/* The state service's interface: our requests, and what it answers. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"
#include "wire/store_records.h"

/* ---- requests: to be freed ---- */
/* A transaction's body, from an FK_OUTPUT_COMMIT. */
char *fk_store_print_commit(const FkOutput *output);
/* The body of a lease's request. */
char *fk_store_print_ttl(double ttl_s);

/* ---- responses; `json` may be NULL ---- */
/* The revision that the response tells of; 0: none. */
FkRev fk_store_parse_revision(const cJSON *json);
/* The paths whose guards failed, char*, owned. */
GPtrArray *fk_store_parse_failed(const cJSON *json);
/* FALSE: there is no lease in it. */
gboolean fk_store_parse_lease(const cJSON *json, FkRev *lease);
/* One item of a list, or what a read returns; NULL: it isn't one. The record is NULL, and that is logged,
 * when it isn't one of ours. */
FkStoreEvent *fk_store_parse_item(const cJSON *item);
/* FkStoreEvent, owned; NULL: malformed. `more`: the list goes on. */
GPtrArray *fk_store_parse_list(const char *body, gsize len, gboolean *more, FkRev *epoch);
/* Likewise; a record that isn't one of ours is logged and left out. */
GPtrArray *fk_store_parse_watch(const char *body, gsize len, FkRev *epoch);
