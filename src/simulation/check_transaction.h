#pragma once
#include "simulation/version.h"

/* NULL, or what is written without a guard that it needs. Owned by the caller. */
char *sim_check_transaction(const FkVersion *version, const FkOutput *t);
