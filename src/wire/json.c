#include "wire/json.h"

#include <math.h>
#include <string.h>

/* Unsigned integers with at least this many digits may exceed DOUBLE_EXACT_MAX, and are kept as strings. */
#define QUOTED_NUMBER_DIGITS_MIN 16
/* 2^53: a double represents every unsigned integer up to 2^53 exactly. */
#define DOUBLE_EXACT_MAX 9007199254740992.0

static gsize digits_end(const char *text, gsize start, gsize len) {
  gsize end = start;
  while (end < len && g_ascii_isdigit(text[end]))
    end++;
  return end;
}

/* Returns whether the digits from `start` to `end` are an unsigned integer, that is, not part of a number
 * with a sign, fraction or exponent. */
static gboolean is_unsigned_integer(const char *text, gsize start, gsize end, gsize len) {
  return (end >= len || !strchr(".eE", text[end])) && (start == 0 || !strchr("-+.eE", text[start - 1]));
}

/* Returns a copy of the text with long unsigned integers in quotes, so that cJSON keeps all digits of these
 * integers; NULL if the text has no long unsigned integers. */
static GString *quote_long_integers(const char *text, gsize len) {
  GString *quoted = NULL;
  gboolean in_string = FALSE;
  gsize copied = 0;
  for (gsize i = 0; i < len; i++) {
    char c = text[i];
    if (in_string) {
      if (c == '\\')
        i++;
      else if (c == '"')
        in_string = FALSE;
    } else if (c == '"') {
      in_string = TRUE;
    } else if (g_ascii_isdigit(c)) {
      gsize end = digits_end(text, i, len);
      if (end - i >= QUOTED_NUMBER_DIGITS_MIN && is_unsigned_integer(text, i, end, len)) {
        if (!quoted)
          quoted = g_string_sized_new(len + QUOTED_NUMBER_DIGITS_MIN);
        g_string_append_len(quoted, text + copied, (gssize)(i - copied));
        g_string_append_printf(quoted, "\"%.*s\"", (int)(end - i), text + i);
        copied = end;
      }
      i = end - 1;
    }
  }
  if (quoted)
    g_string_append_len(quoted, text + copied, (gssize)(len - copied));
  return quoted;
}

/* Returns whether there is only white space from `text` to `end`. */
static gboolean is_blank(const char *text, const char *end) {
  for (; text < end; text++)
    if (!g_ascii_isspace(*text))
      return FALSE;
  return TRUE;
}

cJSON *fk_json_parse(const char *text, gsize len) {
  g_autoptr(GString) quoted = quote_long_integers(text, len);
  if (quoted) {
    text = quoted->str;
    len = quoted->len;
  }
  const char *end = NULL;
  g_autoptr(cJSON) json = cJSON_ParseWithLengthOpts(text, len, &end, FALSE);
  return json && is_blank(end, text + len) ? g_steal_pointer(&json) : NULL;
}

char *fk_json_print(const cJSON *json) { return cJSON_PrintUnformatted(json); }

const cJSON *fk_json_get(const cJSON *object, const char *name) {
  const cJSON *item = cJSON_GetObjectItemCaseSensitive(object, name);
  return item && !cJSON_IsNull(item) ? item : NULL;
}

const char *fk_json_str(const cJSON *object, const char *name) {
  return cJSON_GetStringValue(fk_json_get(object, name));
}

gboolean fk_json_num(const cJSON *object, const char *name, double *out) {
  const cJSON *item = fk_json_get(object, name);
  if (!cJSON_IsNumber(item) || !isfinite(item->valuedouble))
    return FALSE;
  *out = item->valuedouble;
  return TRUE;
}

double fk_json_num_or(const cJSON *object, const char *name, double default_value) {
  double number;
  return fk_json_num(object, name, &number) ? number : default_value;
}

gboolean fk_json_item_u64(const cJSON *item, guint64 *out) {
  if (cJSON_IsString(item))
    return strlen(item->valuestring) >= QUOTED_NUMBER_DIGITS_MIN &&
           g_ascii_string_to_unsigned(item->valuestring, 10, 0, G_MAXUINT64, out, NULL);
  if (!cJSON_IsNumber(item) || item->valuedouble < 0 || item->valuedouble > DOUBLE_EXACT_MAX ||
      item->valuedouble != floor(item->valuedouble))
    return FALSE;
  *out = (guint64)item->valuedouble;
  return TRUE;
}

gboolean fk_json_u64(const cJSON *object, const char *name, guint64 *out) {
  return fk_json_item_u64(fk_json_get(object, name), out);
}

gboolean fk_json_bool(const cJSON *object, const char *name, gboolean *out) {
  const cJSON *item = fk_json_get(object, name);
  if (!cJSON_IsBool(item))
    return FALSE;
  *out = cJSON_IsTrue(item);
  return TRUE;
}

cJSON *fk_json_new_u64(guint64 n) {
  if ((double)n < DOUBLE_EXACT_MAX)
    return cJSON_CreateNumber((double)n);
  g_autofree char *digits = g_strdup_printf("%" G_GUINT64_FORMAT, n);
  return cJSON_CreateRaw(digits);
}

void fk_json_add_u64(cJSON *object, const char *name, guint64 n) {
  cJSON_AddItemToObject(object, name, fk_json_new_u64(n));
}
