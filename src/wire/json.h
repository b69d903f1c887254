/* cJSON with what our messages need: 64-bit integers that survive, and null as missing. */
#pragma once
#include <cjson/cJSON.h>
#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC(cJSON, cJSON_Delete)

/* NULL: malformed. cJSON holds numbers as doubles, so whole numbers too long for one are kept as strings of
 * digits, which fk_json_u64() reads. */
cJSON *fk_json_parse(const char *text, gsize len);
/* Without white space; to be freed. */
char *fk_json_print(const cJSON *json);

/* ---- fields of an object, which may be NULL ---- */
/* NULL when missing or null. */
const cJSON *fk_json_get(const cJSON *object, const char *name);
/* The object's own; NULL: there is no such string. */
const char *fk_json_str(const cJSON *object, const char *name);
/* Of these, FALSE: there is no such field of that type, and `out` is unchanged. */
gboolean fk_json_num(const cJSON *object, const char *name, double *out);
gboolean fk_json_u64(const cJSON *object, const char *name, guint64 *out);
gboolean fk_json_bool(const cJSON *object, const char *name, gboolean *out);
/* `other` when there is no such number. */
double fk_json_num_or(const cJSON *object, const char *name, double other);
void fk_json_add_u64(cJSON *object, const char *name, guint64 n);

/* ---- items of a list ---- */
gboolean fk_json_item_u64(const cJSON *item, guint64 *out);
cJSON *fk_json_new_u64(guint64 n);
