#pragma once
#include "core/messages.h"

/* NULL, or what is written without a guard that it needs (to be freed). */
char *sim_check_transaction(const FkOutput *t);
