/* The autoscaler: scale out and in, what instances cost, and which types there are. */
#pragma once
#include "core/messages.h"

typedef struct FkAutoscaler FkAutoscaler;
typedef struct FkCostAccounting FkCostAccounting;

typedef struct {
  FkAutoscaler *autoscaler;
  FkCostAccounting *cost_accounting;
  GHashTable *instance_types; /* name -> FkInstanceType */
  gboolean types_pending;     /* the cloud is being asked for them */
  FkTime next_types_query_at;
} FkAutoscaling;

FkAutoscaler *fk_autoscaler_new(FkTime now);
void fk_autoscaler_free(FkAutoscaler *autoscaler);
void fk_autoscaler_tick(FkController *c);
/* Forgets what was learnt of the cloud, when this controller acquires or loses the leadership. */
void fk_autoscaler_reset(FkController *c);
/* The machine is being terminated, or the cloud has said that it is gone. */
gboolean fk_autoscaler_is_terminating(FkController *c, const FkMachine *machine);
/* What capacity for one of the tasks costs where it is cheapest, an hour; G_MAXDOUBLE: no type has any. */
double fk_autoscaler_cheapest_price(FkController *c, const FkSpec *spec);
/* What the instances that are provisioned and not up yet cost, an hour. */
double fk_autoscaler_booting_price(FkController *c);
/* How many times as long as usual idle instances are kept (instance_models). */
double fk_autoscaler_retention_factor(FkController *c, gboolean spot);

FkCostAccounting *fk_cost_accounting_new(void);
void fk_cost_accounting_free(FkCostAccounting *accounting);
/* Adds up what the machines are doing; for the leader. */
void fk_cost_accounting_tick(FkController *c);
/* Logs the accounts since the last time, and begins new ones. */
void fk_cost_accounting_log(FkController *c);
