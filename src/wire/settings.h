/* Parses the platform's settings file and the operators' settings file. */
#pragma once
#include "core/settings.h"
#include "wire/json.h"

GQuark fk_settings_error(void);

/* Parses the platform's settings file; the caller frees the settings. Returns NULL and an error that names
 * the field if the file is malformed. */
FkSettings *fk_settings_parse(const char *body, gsize len, GError **error);
/* Parses the operators' settings file. Each setting in the file replaces the value in `tuning`. Returns FALSE
 * and an error if the file isn't a JSON object, or a setting is unknown or invalid. In that case, the
 * settings before the invalid one in the file have already replaced their values. */
gboolean fk_tuning_parse(FkTuning *tuning, const char *body, gsize len, GError **error);

/* A setting of the operators' file: its name, the offset of its field (a double) in FkTuning, and the range
 * of allowed values. */
typedef struct {
  const char *name;
  gsize offset;
  double min, max;
} FkTuningField;
/* Returns a static array of all settings of the operators' file, and sets `n` to the length of the array. */
const FkTuningField *fk_tuning_fields(guint *n);
