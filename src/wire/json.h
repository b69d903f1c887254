/* Helpers on top of cJSON. The helpers preserve unsigned 64-bit integers, which cJSON alone would round to
 * doubles, and treat null as a missing field. */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC(cJSON, cJSON_Delete)

/* Parses a JSON text; the caller deletes the result. Returns NULL if the text is malformed. cJSON holds
 * numbers as doubles, so unsigned integers that may be too large for an exact double are kept as strings of
 * digits, which fk_json_u64() reads. */
cJSON *fk_json_parse(const char *text, gsize len);
/* Prints JSON without white space. The caller frees the result. */
char *fk_json_print(const cJSON *json);

/* ---- fields of an object; `object` may be NULL ---- */
/* Returns the field's value, owned by the object; NULL if the field is missing or null. */
const cJSON *fk_json_get(const cJSON *object, const char *name);
/* Returns the string, owned by the object; NULL if the field is missing or isn't a string. */
const char *fk_json_str(const cJSON *object, const char *name);
/* Read a finite number, an unsigned 64-bit integer or a boolean into `out`. Return FALSE and leave `out`
 * unchanged if the field is missing or holds a value of another kind. */
gboolean fk_json_num(const cJSON *object, const char *name, double *out);
gboolean fk_json_u64(const cJSON *object, const char *name, guint64 *out);
gboolean fk_json_bool(const cJSON *object, const char *name, gboolean *out);
/* Returns the field's number, or `default_value` if the field is missing or isn't a finite number. */
double fk_json_num_or(const cJSON *object, const char *name, double default_value);
/* Adds a field with an unsigned 64-bit integer. */
void fk_json_add_u64(cJSON *object, const char *name, guint64 n);

/* ---- unsigned 64-bit integers that aren't fields, for instance items of a list ---- */
/* Reads an unsigned integer into `out`. Returns FALSE and leaves `out` unchanged if `item` is NULL or isn't
 * an unsigned 64-bit integer. */
gboolean fk_json_item_u64(const cJSON *item, guint64 *out);
/* Creates a JSON number. The caller deletes the number, or adds it to a list or object. */
cJSON *fk_json_new_u64(guint64 n);
