/* The cloud's codec. */
#include "fuzz.h"

#include "wire/cloud.h"

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  const char *text = (const char *)data;
  gboolean more = FALSE;
  g_autoptr(GPtrArray) types = fk_cloud_parse_types(text, size);
  g_autoptr(GPtrArray) machines = fk_cloud_parse_machines(text, size, &more);
  g_autoptr(GPtrArray) names = fk_cloud_parse_machine_ids(text, size);
  for (guint i = 0; types && i < types->len; i++) {
    const FkInstanceType *t = types->pdata[i];
    FK_HOLDS(t->name && t->zones);
  }
  for (guint i = 0; machines && i < machines->len; i++)
    FK_HOLDS(((const FkCloudMachine *)machines->pdata[i])->id);
  for (guint i = 0; names && i < names->len; i++)
    FK_HOLDS(names->pdata[i]);
  fk_cloud_is_no_capacity(text, size);
  return 0;
}
