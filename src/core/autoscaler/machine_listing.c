/* The cloud's list of machines: what is booting, and what has failed. The list lags behind the cloud's other
 * answers by several seconds. */
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#define LIST_RETRY_MIN_S 1.0
#define LIST_RETRY_MAX_S 2.0
#define LIST_INTERVAL_MIN_S 3.0
#define RECORD_STABLE_S 1.0 /* a record younger than this may be newer than the list */

/* Not in the list yet: known from its age. */
static FkBootingInstance *booting_instance_from_list(FkController *c, const FkCloudMachine *listed) {
  FkBootingInstance *instance = g_new0(FkBootingInstance, 1);
  instance->id = g_strdup(listed->id);
  instance->type = g_strdup(listed->type);
  instance->zone = g_strdup(listed->zone);
  instance->spot = listed->spot;
  instance->requested_at = fk_time_add(c->now, -listed->age_s);
  g_hash_table_insert(c->autoscaling.autoscaler->booting, instance->id, instance);
  return instance;
}

/* A machine with a record that has stopped by itself is as good as silent. */
static void check_joined_machine(FkController *c, FkMachine *machine, const FkCloudMachine *listed) {
  if (listed->state == FK_CLOUD_MACHINE_FAILED && !machine->drain_reason &&
      fk_time_between(machine->record_seen_at, c->now) > RECORD_STABLE_S)
    fk_machine_registry_set_drain_reason(c, machine, "silent", -1);
}

static void update_booting_instance(FkController *c, const FkCloudMachine *listed) {
  FkBootingInstance *instance = g_hash_table_lookup(c->autoscaling.autoscaler->booting, listed->id);
  if (!instance)
    instance = booting_instance_from_list(c, listed);
  instance->listed = TRUE;
  instance->listed_at = c->now;
  instance->failed = listed->state == FK_CLOUD_MACHINE_FAILED;
  if (listed->state == FK_CLOUD_MACHINE_RUNNING && !instance->running) {
    instance->running = TRUE;
    instance->running_since = c->now;
  }
}

static void machine_listed(FkController *c, const FkCloudMachine *listed) {
  FkMachine *machine = fk_view_find_machine(c->view, listed->id);
  if (machine && machine->record)
    check_joined_machine(c, machine, listed);
  else if (!g_hash_table_contains(c->autoscaling.autoscaler->terminated, listed->id))
    update_booting_instance(c, listed);
}

void fk_controller_machines_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *listed,
                                     gboolean more) {
  c->now = now;
  FkAutoscaler *a = c->autoscaling.autoscaler;
  a->list_pending = FALSE;
  if (outcome != FK_OUTCOME_OK) {
    a->next_list = fk_time_add(now, g_rand_double_range(c->rand, LIST_RETRY_MIN_S, LIST_RETRY_MAX_S));
    g_clear_pointer(&a->list_cursor, g_free);
    return;
  }
  for (guint i = 0; i < listed->len; i++)
    machine_listed(c, listed->pdata[i]);
  g_clear_pointer(&a->list_cursor, g_free);
  if (more && listed->len) {
    const FkCloudMachine *last = listed->pdata[listed->len - 1];
    a->list_cursor = g_strdup(last->id);
    a->next_list = now;
  } else {
    a->next_list = fk_time_add(now, MAX(LIST_INTERVAL_MIN_S, c->settings->cloud_list_lag_s / 2));
    a->listed_once = TRUE;
  }
}
