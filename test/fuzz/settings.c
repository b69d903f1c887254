/* Both settings files: an error always says what is wrong, and what is taken gives limits that hold together.
 */
#include "fuzz.h"

#include "wire/settings.h"

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  const char *text = (const char *)data;
  g_autoptr(GError) error = NULL, own = NULL;
  g_autoptr(FkSettings) s = fk_settings_parse(text, size, &error);
  FK_HOLDS(s || error);
  g_autoptr(FkSettings) defaults = fk_settings_new();
  gboolean taken = fk_tuning_parse(&defaults->tuning, text, size, &own);
  FK_HOLDS(taken || own);
  if (s) {
    const FkAdmissionResources resources = {s->sockets, s->ram_mb, s->peers->len};
    FkAdmissionLimits l = fk_admission_limits_derive(&resources, &defaults->tuning.admission);
    for (guint g = 0; g < FK_CONNECTION_CLASSES; g++)
      FK_HOLDS(l.connections[g] >= 2);
    FK_HOLDS(l.requests >= 16 && l.store_connections >= 2);
  }
  return 0;
}
