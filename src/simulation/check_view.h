#pragma once
#include "core/state/view.h"

/* Aborts where an index or a running sum of the view differs from its full recomputation. */
void sim_check_view(FkView *v);
