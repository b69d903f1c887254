#include "core/cpu_profile.h"

const char *fk_cost_name(FkCost c) {
  static const char *names[FK_COSTS] = {"loop",     "reports", "decode", "apply", "encode", "users",
                                        "launches", "stops",   "fleet",  "homes", "claims", "idle"};
  return names[c];
}
