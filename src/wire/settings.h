/* The platform's settings file, and the operators' own. */
#pragma once
#include "core/settings.h"
#include "wire/json.h"

GQuark fk_settings_error(void);

/* The platform's file; NULL and an error that names the field. */
FkSettings *fk_settings_parse(const char *body, gsize len, GError **error);
/* The operators' file, over what is in `tuning`; FALSE and an error that names the field. */
gboolean fk_tuning_parse(FkTuning *tuning, const char *body, gsize len, GError **error);

/* A setting of the operators' file; `offset` is its field's. */
typedef struct {
  const char *name;
  gsize offset;
  double min, max;
} FkTuningField;
/* All of them; static. */
const FkTuningField *fk_tuning_fields(guint *n);
