/* JSON format of the records that controllers keep in the store. The records' keys and meaning are described
 * in core/state/store_keys.h and core/state/records.h. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* Returns the record's value as JSON; the caller deletes the result. */
cJSON *fk_store_record_to_json(const FkRecord *record);
/* Parses the value stored at `path` (`value` may be NULL); the caller frees the record. Returns NULL if the
 * value isn't a valid record for that path. */
FkRecord *fk_store_record_from_json(const char *path, const cJSON *value);
