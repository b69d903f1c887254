/* The users' codec: what it takes is within the protocol's bounds, what it refuses has a reason. */
#include "fuzz.h"

#include "wire/user.h"

int LLVMFuzzerTestOneInput(const guint8 *data, gsize size) {
  const char *why = NULL;
  g_autoptr(FkSpec) spec = fk_user_parse_submission((const char *)data, size, &why);
  FK_HOLDS(spec || why);
  if (spec) {
    FK_HOLDS(fk_user_id_is_valid(spec->id) && spec->tasks >= 1 && spec->tasks <= 100000);
    FK_HOLDS(spec->cpus >= 0 && spec->mem_gb >= 0 && spec->gpus >= 0 && spec->estimate_s >= 0);
  }
  g_autofree char *text = g_strndup((const char *)data, size), *id = fk_user_print_error(text);
  FK_HOLDS(id);
  fk_user_id_is_valid(text);
  return 0;
}
