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

void fk_remote_execution_settings_free(FkRemoteExecutionSettings *settings) {
  if (!settings)
    return;
  g_free(settings->listen);
  g_free(settings->directory);
  g_free(settings->keys);
  g_free(settings);
}

static gboolean parse_number(FkRemoteExecutionSettings *settings, const cJSON *field, GError **error) {
  for (guint i = 0; i < G_N_ELEMENTS(numbers); i++) {
    const FkRemoteExecutionNumber *number = &numbers[i];
    if (!g_str_equal(number->name, field->string))
      continue;
    if (!cJSON_IsNumber(field) || !(field->valuedouble >= number->min && field->valuedouble <= number->max)) {
      g_set_error(error, settings_error(), 1, "%s: expected a number from %g to %g", number->name,
                  number->min, number->max);
      return FALSE;
    }
    G_STRUCT_MEMBER(double, settings, number->offset) = field->valuedouble;
    return TRUE;
  }
  g_set_error(error, settings_error(), 1, "%s: unknown setting", field->string);
  return FALSE;
}

static gboolean parse_string(const cJSON *field, char **out, GError **error) {
  if (!cJSON_IsString(field) || !*field->valuestring) {
    g_set_error(error, settings_error(), 1, "%s: expected a non-empty string", field->string);
    return FALSE;
  }
  g_free(*out);
  *out = g_strdup(field->valuestring);
  return TRUE;
}

/* Returns the field of a string setting, or NULL if no string setting has that name. */
static char **string_setting(FkRemoteExecutionSettings *settings, const char *name) {
  if (g_str_equal(name, "listen"))
    return &settings->listen;
  if (g_str_equal(name, "directory"))
    return &settings->directory;
  return g_str_equal(name, "keys") ? &settings->keys : NULL;
}

static gboolean parse_field(FkRemoteExecutionSettings *settings, const cJSON *field, GError **error) {
  char **string = string_setting(settings, field->string);
  return string ? parse_string(field, string, error) : parse_number(settings, field, error);
}

/* Returns whether the text is a loopback IP address and a port. Other addresses aren't allowed: TLS isn't
 * supported, so others on the network could read the clients' keys. */
static gboolean is_loopback(const char *address_and_port) {
  const char *colon = strrchr(address_and_port, ':');
  guint64 port;
  g_autofree char *host = colon ? g_strndup(address_and_port, (gsize)(colon - address_and_port)) : NULL;
  g_autoptr(GInetAddress) address = host ? g_inet_address_new_from_string(host) : NULL;
  return address && g_inet_address_get_is_loopback(address) &&
         g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL);
}

/* Returns the name of a required setting that is missing, or NULL if there is none. */
static const char *missing_setting(const FkRemoteExecutionSettings *settings) {
  if (!settings->listen)
    return "listen";
  if (!settings->directory)
    return "directory";
  return settings->keys ? NULL : "keys";
}

FkRemoteExecutionSettings *fk_remote_execution_settings_parse(const char *text, gsize len, GError **error) {
  g_autoptr(cJSON) json = fk_json_parse(text, len);
  g_autoptr(FkRemoteExecutionSettings) settings = g_new0(FkRemoteExecutionSettings, 1);
  const cJSON *field;
  if (!cJSON_IsObject(json)) {
    g_set_error(error, settings_error(), 1, "not a JSON object; expected an object with the settings");
    return NULL;
  }
  for (guint i = 0; i < G_N_ELEMENTS(numbers); i++)
    G_STRUCT_MEMBER(double, settings, numbers[i].offset) = numbers[i].default_value;
  cJSON_ArrayForEach(field, json) {
    if (!parse_field(settings, field, error))
      return NULL;
  }
  const char *missing = missing_setting(settings);
  if (missing) {
    g_set_error(error, settings_error(), 1, "%s: required setting is missing", missing);
    return NULL;
  }
  if (!is_loopback(settings->listen)) {
    g_set_error(
        error, settings_error(), 1,
        "listen: expected a loopback IP address and a port, such as 127.0.0.1:8980 (TLS isn't supported)");
    return NULL;
  }
  return g_steal_pointer(&settings);
}
