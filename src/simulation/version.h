/* A version of the controller, as the simulation plays it: its core and its codec. version.c binds the
 * present sources. production_version.c binds the version that deploy/service.toml names as `production`, in
 * that version's own names, for the schedules in which two versions serve side by side. What crosses by
 * pointer is declared by controller.h and has the same layout in both (fk_version_layout); records and
 * settings cross as JSON, since their structs may differ. */
#pragma once
#include "core/controller.h"
#include "wire/json.h"

typedef struct {
  const char *name;
  FkSettings *(*settings)(const char *platform, const char *operator_wishes); /* JSON; NULL: refused */
  void (*settings_free)(FkSettings *s);
  cJSON *(*record_to_json)(const FkRecord *r);
  FkEvent *(*event)(const char *path, const char *value, guint64 stamp); /* `value` NULL: deleted */
  void (*event_free)(FkEvent *e);
  void (*out_free)(FkOut *o);
  FkController *(*start)(const FkSettings *s, const char *life, guint32 seed, FkTime now);
  void (*free)(FkController *c);
  FkOut *(*next)(FkController *c);
  void (*tick)(FkController *c, FkTime now, gint64 wall_us);
  void (*submit)(FkController *c, FkTime now, FkRequest r, FkSpec *spec);
  void (*get)(FkController *c, FkTime now, FkRequest r, const char *id);
  void (*cancel)(FkController *c, FkTime now, FkRequest r, const char *id);
  void (*report)(FkController *c, FkTime now, FkRequest r, FkReport *report);
  void (*listed)(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, gboolean more, FkRev epoch);
  void (*watched)(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, FkRev epoch, FkTime sent);
  void (*held)(FkController *c, FkTime now, FkOutcome o, FkRev hold, FkTime sent);
  void (*renewed)(FkController *c, FkTime now, FkOutcome o, FkTime sent);
  void (*committed)(FkController *c, FkTime now, guint64 call, FkOutcome o, FkRev epoch, GPtrArray *failed);
  void (*sent)(FkController *c, FkTime now, guint64 call);
  void (*got)(FkController *c, FkTime now, guint64 call, FkOutcome o, FkEvent *e);
  void (*commanded)(FkController *c, FkTime now, guint64 call, FkOutcome o, FkReport *report);
  const char *(*seen)(FkController *c, FkTime now, FkRev *seen, FkRev *applied, double *store_age_s);
  void (*peer)(FkController *c, FkTime now, const char *peer, const char *life, FkRev seen, FkRev applied,
               double store_age_s, FkTime sent);
  void (*types)(FkController *c, FkTime now, FkOutcome o, GPtrArray *types);
  void (*machines)(FkController *c, FkTime now, FkOutcome o, GPtrArray *listed, gboolean more);
  void (*rented)(FkController *c, FkTime now, guint64 call, FkOutcome o, GPtrArray *names);
  void (*returned)(FkController *c, FkTime now, guint64 call, FkOutcome o);
} FkVersion;

extern const FkVersion fk_version_present;
/* Sizes, offsets and values of enums of what crosses between versions by pointer. The array is static. */
const gsize *fk_version_layout(guint *length);
#ifdef FK_PRODUCTION
extern const FkVersion fk_version_production;
extern const gsize fk_production_layout[];
extern const guint fk_production_layout_length;
#endif
