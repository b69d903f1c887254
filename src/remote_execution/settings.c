#include "remote_execution/settings.h"

#include <gio/gio.h>
#include <string.h>

#include "wire/json.h"

static const FkRemoteExecutionNumber numbers[] = {
    {"bytes_gb", offsetof(FkRemoteExecutionSettings, bytes_gb), 0.001, 1e6, 10},
    {"blobs", offsetof(FkRemoteExecutionSettings, blobs), 10, 1e9, 1e6},
    {"message_mb", offsetof(FkRemoteExecutionSettings, message_mb), 0.125, 64, 4},
    {"connections", offsetof(FkRemoteExecutionSettings, connections), 1, 10000, 100},
    {"calls", offsetof(FkRemoteExecutionSettings, calls), 1, 10000, 200},
    {"idle_s", offsetof(FkRemoteExecutionSettings, idle_s), 1, 86400, 600},
    {"upload_s", offsetof(FkRemoteExecutionSettings, upload_s), 1, 86400, 600},
};

const FkRemoteExecutionNumber *fk_remote_execution_numbers(guint *n) {
  *n = G_N_ELEMENTS(numbers);
  return numbers;
}

static GQuark settings_error(void) { return g_quark_from_static_string("fk-rexec-settings"); }

void fk_remote_execution_settings_free(FkRemoteExecutionSettings *s) {
  if (!s)
    return;
  g_free(s->listen);
  g_free(s->directory);
  g_free(s->keys);
  g_free(s);
}

static gboolean take_number(FkRemoteExecutionSettings *s, const cJSON *j, GError **error) {
  for (guint i = 0; i < G_N_ELEMENTS(numbers); i++) {
    const FkRemoteExecutionNumber *f = &numbers[i];
    if (!g_str_equal(f->name, j->string))
      continue;
    if (!cJSON_IsNumber(j) || !(j->valuedouble >= f->min && j->valuedouble <= f->max)) {
      g_set_error(error, settings_error(), 1, "%s: a number from %g to %g is needed", f->name, f->min,
                  f->max);
      return FALSE;
    }
    G_STRUCT_MEMBER(double, s, f->offset) = j->valuedouble;
    return TRUE;
  }
  g_set_error(error, settings_error(), 1, "%s: no such setting", j->string);
  return FALSE;
}

static gboolean take_text(const cJSON *j, char **out, GError **error) {
  if (!cJSON_IsString(j) || !*j->valuestring) {
    g_set_error(error, settings_error(), 1, "%s: a non-empty string is needed", j->string);
    return FALSE;
  }
  g_free(*out);
  *out = g_strdup(j->valuestring);
  return TRUE;
}

/* Keys would travel in the clear: until there is TLS here, only where nobody listens. */
static gboolean loopback(const char *where) {
  const char *colon = strrchr(where, ':');
  guint64 port;
  g_autofree char *host = colon ? g_strndup(where, (gsize)(colon - where)) : NULL;
  g_autoptr(GInetAddress) address = host ? g_inet_address_new_from_string(host) : NULL;
  return address && g_inet_address_get_is_loopback(address) &&
         g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL);
}

FkRemoteExecutionSettings *fk_remote_execution_settings_parse(const char *text, gsize len, GError **error) {
  g_autoptr(cJSON) o = fk_json_parse(text, len);
  g_autoptr(FkRemoteExecutionSettings) s = g_new0(FkRemoteExecutionSettings, 1);
  const cJSON *j;
  if (!cJSON_IsObject(o)) {
    g_set_error(error, settings_error(), 1, "not a JSON object");
    return NULL;
  }
  for (guint i = 0; i < G_N_ELEMENTS(numbers); i++)
    G_STRUCT_MEMBER(double, s, numbers[i].offset) = numbers[i].fallback;
  cJSON_ArrayForEach(j, o) {
    char **text_field = g_str_equal(j->string, "listen")      ? &s->listen
                        : g_str_equal(j->string, "directory") ? &s->directory
                        : g_str_equal(j->string, "keys")      ? &s->keys
                                                              : NULL;
    if (text_field ? !take_text(j, text_field, error) : !take_number(s, j, error))
      return NULL;
  }
  const char *missing = !s->listen ? "listen" : !s->directory ? "directory" : !s->keys ? "keys" : NULL;
  if (missing) {
    g_set_error(error, settings_error(), 1, "%s: is needed", missing);
    return NULL;
  }
  if (!loopback(s->listen)) {
    g_set_error(error, settings_error(), 1,
                "listen: a loopback address and port is needed (there is no TLS yet)");
    return NULL;
  }
  return g_steal_pointer(&s);
}
