/* Helpers on top of cJSON. The helpers preserve 64-bit integers, which cJSON alone would round to doubles,
 * and treat null as a missing field. */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC(cJSON, cJSON_Delete)

/* Parses a JSON text; returns NULL if it is malformed. cJSON holds numbers as doubles, so whole numbers that
 * may be too large for a double to be exact are kept as strings of digits, which fk_json_u64() reads. */
cJSON *fk_json_parse(const char *text, gsize len);
/* Prints JSON without white space. The caller frees the result. */
char *fk_json_print(const cJSON *json);

/* ---- fields of an object; `object` may be NULL ---- */
/* Returns the field's value, owned by the object; NULL if the field is missing or null. */
const cJSON *fk_json_get(const cJSON *object, const char *name);
/* Returns the string, owned by the object; NULL if the field is missing or isn't a string. */
const char *fk_json_str(const cJSON *object, const char *name);
/* Read a finite number, a 64-bit whole number and a boolean. Return FALSE and leave `out` unchanged if the
 * field is missing or has another type. */
gboolean fk_json_num(const cJSON *object, const char *name, double *out);
gboolean fk_json_u64(const cJSON *object, const char *name, guint64 *out);
gboolean fk_json_bool(const cJSON *object, const char *name, gboolean *out);
/* Returns the number, or `default_value` if the field is missing or isn't a finite number. */
double fk_json_num_or(const cJSON *object, const char *name, double default_value);
/* Adds a field with a 64-bit whole number. */
void fk_json_add_u64(cJSON *object, const char *name, guint64 n);

/* ---- items of a list; 64-bit whole numbers ---- */
/* Reads a whole number. Returns FALSE and leaves `out` unchanged if `item` (may be NULL) isn't one. */
gboolean fk_json_item_u64(const cJSON *item, guint64 *out);
/* Returns a JSON number, which the caller deletes or adds to a list or object. */
cJSON *fk_json_new_u64(guint64 n);
