#pragma once
#include "core/state/view.h"

/* Fails where an index or a running sum of the view isn't what a full look gives. */
void sim_check_view(FkView *v);
