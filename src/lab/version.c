#include "version.h"

#include <string.h>

#include "wire/settings.h"
#include "wire/store.h"

#ifndef FK_VERSION_NAME
#define FK_VERSION_NAME present
#endif
#define SYMBOL_OF(name) fk_version_##name
#define SYMBOL(name) SYMBOL_OF(name)
#define TEXT_OF(name) #name
#define TEXT(name) TEXT_OF(name)

static FkSettings *settings(const char *platform, const char *operator_wishes) {
  FkSettings *s = fk_settings_parse(platform, strlen(platform), NULL);
  if (s && !fk_tuning_parse(&s->tuning, operator_wishes, strlen(operator_wishes), NULL))
    g_clear_pointer(&s, fk_settings_free);
  return s;
}

static FkEvent *event(const char *path, const char *value, guint64 stamp) {
  FkEvent *e = g_new0(FkEvent, 1);
  e->path = g_strdup(path);
  e->rev.n = stamp;
  if (!value)
    return e;
  g_autoptr(cJSON) j = fk_json_parse(value, strlen(value));
  e->record = fk_store_record_from_json(path, j);
  if (!e->record)
    g_clear_pointer(&e, fk_event_free); /* not ours, or malformed: passed over, as the codec does */
  return e;
}

__attribute__((visibility("default"))) const FkVersion SYMBOL(FK_VERSION_NAME) = {
    TEXT(FK_VERSION_NAME),
    settings,
    fk_settings_free,
    fk_store_record_to_json,
    event,
    fk_event_free,
    fk_out_free,
    fk_controller_new,
    fk_controller_free,
    fk_controller_next,
    fk_controller_tick,
    fk_controller_submit,
    fk_controller_get,
    fk_controller_cancel,
    fk_controller_report,
    fk_controller_listed,
    fk_controller_watched,
    fk_controller_held,
    fk_controller_renewed,
    fk_controller_committed,
    fk_controller_sent,
    fk_controller_got,
    fk_controller_commanded,
    fk_controller_seen,
    fk_controller_peer,
    fk_controller_types,
    fk_controller_machines,
    fk_controller_rented,
    fk_controller_returned,
};
