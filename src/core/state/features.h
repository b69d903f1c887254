/* Features that a controller may use only if every other controller's version has them too. */
#pragma once
#include "core/messages.h"
#include "core/state/records.h"

/* Returns whether every controller in the settings last started with a version that has the feature, as its
 * launch fence says. A launch that a controller sent before it was upgraded can't commit any more then, since
 * it is guarded by an earlier revision of the fence. */
gboolean fk_feature_is_supported(FkController *c, FkFeature feature);
