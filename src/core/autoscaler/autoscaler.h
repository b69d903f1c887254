/* The autoscaler: scale-out, scale-in, the prices of instances, and the instance types. */
#pragma once
#include "core/messages.h"

typedef struct FkAutoscaler FkAutoscaler;
typedef struct FkCostAccounting FkCostAccounting;

/* The autoscaling state of a controller. Owns all members. */
typedef struct {
  FkAutoscaler *autoscaler;
  FkCostAccounting *cost_accounting;
  GHashTable *instance_types; /* name -> FkInstanceType */
  gboolean types_pending;     /* whether a request for the instance types is in flight */
  FkTime next_types_query_at; /* the instance types aren't requested again before this time */
} FkAutoscaling;

FkAutoscaler *fk_autoscaler_new(FkTime now);
void fk_autoscaler_free(FkAutoscaler *autoscaler);
/* Does the autoscaler's periodic work that is due. Called on the leader only. */
void fk_autoscaler_tick(FkController *c);
/* Discards the autoscaler's state. Called when this controller acquires or loses leadership. */
void fk_autoscaler_reset(FkController *c);
/* Returns whether the machine is being terminated or the cloud has confirmed its termination. */
gboolean fk_autoscaler_is_terminating(FkController *c, const FkMachine *machine);
/* Returns the lowest price per hour for one task on an instance that is filled with tasks of this spec, at
 * spot prices if the task may run on spot machines; G_MAXDOUBLE if the task fits no instance type. */
double fk_autoscaler_cheapest_price(FkController *c, const FkSpec *spec);
/* Returns the price per hour of all booting instances together. */
double fk_autoscaler_booting_price(FkController *c);
/* Returns the factor, at least 1, by which the configured idle time is multiplied: for spot machines if
 * `spot` is set, else for on-demand machines (instance_models/idle_retention.h). */
double fk_autoscaler_retention_factor(FkController *c, gboolean spot);

FkCostAccounting *fk_cost_accounting_new(void);
void fk_cost_accounting_free(FkCostAccounting *accounting);
/* Samples the cost of the machines and attributes it to their use (booting, terminating, idle, unused,
 * needed, overpriced). Called on the leader only. */
void fk_cost_accounting_tick(FkController *c);
/* Logs the costs since the last call, and resets them. */
void fk_cost_accounting_log(FkController *c);
