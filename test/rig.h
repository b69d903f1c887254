/* One controller core, fed by hand. */
#pragma once
#include "core/controller.h"
#include "core/controller_internal.h"

typedef struct {
  FkSettings *s;
  FkController *c;
  FkTime now;
  guint64 epoch;
  GPtrArray *outs; /* FkOutput, all that came out since they were looked at */
  guint64 tally;
} Rig;

#define SPEC                                                                                                 \
  "{\"class\":\"c\",\"team\":\"red\",\"shape\":0,\"rank\":2,\"tasks\":4,\"cpus\":2,\"gpus\":0,\"mem\":2,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":10,"       \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-0\",\"chunk\":16}"

#define SERVICE                                                                                              \
  "{\"class\":\"c\",\"team\":\"red\",\"shape\":1,\"rank\":1,\"tasks\":1,\"cpus\":1,\"gpus\":0,\"mem\":1,"    \
  "\"image\":\"i\",\"image_gb\":1,\"one_zone\":false,\"spread\":false,\"spot\":false,\"estimate\":0,"        \
  "\"checkpoint\":0,\"save\":0,\"submitted\":1000,\"owner\":\"c-1\",\"chunk\":16}"

void pump(Rig *r);
FkOutput *find(Rig *r, FkOutputKind kind, const char *key);
void tick(Rig *r, double s);
void watched(Rig *r, const char *const *lines);
char *group_key(const char *kind);
Rig *rig_new(gboolean ours);
void rig_free(Rig *r);
void report(Rig *r, guint64 session, guint64 seq, guint64 token, const char *state, FkExitReason why);
gboolean guarded(const FkOutput *t, const char *prefix);
guint starts(const FkOutput *o);
FkHeartbeat *says(Rig *r, const char *machine, const char *zone, guint64 session, guint64 seq);
void report_of(Rig *r, const char *machine, const char *zone);
/* Returns the content of a shard's page with `n` machines of the zone, all in the shard of the first machine.
 * Adds their ids to `ids`. */
char *machine_page(const char *zone, const char *name, guint n, GPtrArray *ids);
