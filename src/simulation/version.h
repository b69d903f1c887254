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
  FkSettings *(*parse_settings)(const char *platform,
                                const char *operator_settings); /* JSON; NULL: refused */
  void (*settings_free)(FkSettings *s);
  cJSON *(*record_to_json)(const FkRecord *r);
  FkStoreEvent *(*parse_event)(const char *path, const char *value,
                               guint64 stamp); /* `value` NULL: deleted */
  void (*store_event_free)(FkStoreEvent *e);
  void (*output_free)(FkOutput *o);
  FkController *(*controller_new)(const FkSettings *s, const char *incarnation, guint32 seed, FkTime now);
  void (*controller_free)(FkController *c);
  FkOutput *(*next_output)(FkController *c);
  void (*tick)(FkController *c, FkTime now, gint64 wall_us);
  void (*submission_received)(FkController *c, FkTime now, FkRequestId r, FkSpec *spec);
  void (*poll_received)(FkController *c, FkTime now, FkRequestId r, const char *id);
  void (*cancellation_received)(FkController *c, FkTime now, FkRequestId r, const char *id);
  void (*heartbeat_received)(FkController *c, FkTime now, FkRequestId r, FkHeartbeat *heartbeat_received);
  void (*list_received)(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, gboolean more,
                        FkRev epoch);
  void (*watch_received)(FkController *c, FkTime now, FkOutcome o, GPtrArray *events, FkRev epoch,
                         FkTime transaction_sent);
  void (*lease_grant_received)(FkController *c, FkTime now, FkOutcome o, FkRev hold, FkTime transaction_sent);
  void (*lease_keepalive_received)(FkController *c, FkTime now, FkOutcome o, FkTime transaction_sent);
  void (*commit_received)(FkController *c, FkTime now, guint64 call, FkOutcome o, FkRev epoch,
                          GPtrArray *failed);
  void (*transaction_sent)(FkController *c, FkTime now, guint64 call);
  void (*get_received)(FkController *c, FkTime now, guint64 call, FkOutcome o, FkStoreEvent *e);
  void (*command_reply_received)(FkController *c, FkTime now, guint64 call, FkOutcome o,
                                 FkHeartbeat *heartbeat_received);
  const char *(*store_progress)(FkController *c, FkTime now, FkRev *store_progress, FkRev *applied,
                                double *store_age_s);
  void (*peer_progress_received)(FkController *c, FkTime now, const char *peer_progress_received,
                                 const char *incarnation, FkRev store_progress, FkRev applied,
                                 double store_age_s, FkTime transaction_sent);
  void (*instance_types_received)(FkController *c, FkTime now, FkOutcome o,
                                  GPtrArray *instance_types_received);
  void (*machines_received)(FkController *c, FkTime now, FkOutcome o, GPtrArray *list_received,
                            gboolean more);
  void (*provision_received)(FkController *c, FkTime now, guint64 call, FkOutcome o, GPtrArray *names);
  void (*terminate_received)(FkController *c, FkTime now, guint64 call, FkOutcome o);
} FkVersion;

extern const FkVersion fk_version_present;
/* Sizes, offsets and values of enums of what crosses between versions by pointer. The array is static. */
const gsize *fk_version_layout(guint *length);
#ifdef FK_PRODUCTION
extern const FkVersion fk_version_production;
extern const gsize fk_production_layout[];
extern const guint fk_production_layout_length;
#endif
