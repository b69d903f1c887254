/* What our records look like in the store. Their keys, and what they mean: core/state/keys. */
#pragma once
#include "core/messages.h"
#include "wire/json.h"

/* To be deleted. */
cJSON *fk_store_record_to_json(const FkRecord *record);
/* The record at that path, to be freed; NULL: the value isn't one of ours. */
FkRecord *fk_store_record_from_json(const char *path, const cJSON *value);
