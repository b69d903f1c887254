/* Names of the purposes of CPU time. */
#include "core/cpu_profile.h"

const char *fk_cpu_purpose_name(FkCpuPurpose purpose) {
  static const char *names[FK_CPU_PURPOSES] = {"loop",     "reports", "decode", "apply", "encode", "users",
                                               "launches", "stops",   "fleet",  "homes", "claims", "idle"};
  return names[purpose];
}
