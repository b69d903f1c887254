/* Parses the platform's settings file and the operators' settings file. */
#pragma once
#include "core/settings.h"
#include "wire/json.h"

GQuark fk_settings_error(void);

/* Parses the platform's settings file. If it is malformed, returns NULL and an error that names the field. */
FkSettings *fk_settings_parse(const char *body, gsize len, GError **error);
/* Parses the operators' settings file, whose settings replace the values in `tuning`. Returns FALSE and an
 * error that names the field if the file is malformed; settings before the faulty one have then already been
 * replaced. */
gboolean fk_tuning_parse(FkTuning *tuning, const char *body, gsize len, GError **error);

/* A setting of the operators' file: its name, the offset of its field (a double) in FkTuning, and the range
 * of allowed values. */
typedef struct {
  const char *name;
  gsize offset;
  double min, max;
} FkTuningField;
/* Returns the array of all settings of the operators' file, which is static, and sets `n` to their number. */
const FkTuningField *fk_tuning_fields(guint *n);
