#include "core/state/features.h"

#include "core/controller_internal.h"

static gboolean controller_supports(FkController *c, const char *name, FkFeature feature) {
  const FkLaunchFence *fence = g_hash_table_lookup(c->view->launch_fences, name);
  return fence && (fence->features & feature);
}

gboolean fk_feature_is_supported(FkController *c, FkFeature feature) {
  if (!controller_supports(c, c->settings->node, feature))
    return FALSE;
  for (guint i = 0; i < c->settings->peers->len; i++)
    if (!controller_supports(c, ((FkPeer *)c->settings->peers->pdata[i])->name, feature))
      return FALSE;
  return TRUE;
}
