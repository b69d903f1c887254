/* Parses the platform's settings file and the operators' settings file. */
#pragma once
#include "core/settings.h"
#include "wire/json.h"

GQuark fk_settings_error(void);

/* Parses the platform's settings file. Returns NULL and an error that names the field if it is malformed. */
FkSettings *fk_settings_parse(const char *body, gsize len, GError **error);
/* Parses the operators' settings file; its settings replace the values in `tuning`. Returns FALSE and an
 * error that names the field if it is malformed. */
gboolean fk_tuning_parse(FkTuning *tuning, const char *body, gsize len, GError **error);

/* A setting of the operators' file; `offset` is the offset of its field in FkTuning. */
typedef struct {
  const char *name;
  gsize offset;
  double min, max;
} FkTuningField;
/* Returns all `n` settings of the operators' file; static. */
const FkTuningField *fk_tuning_fields(guint *n);
