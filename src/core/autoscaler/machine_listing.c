/* Processes the cloud's list of machines: updates the booting instances, and detects machines that have
 * failed or are gone. The list lags several seconds behind the cloud's other replies, and comes in pages; a
 * listing is the sequence of pages from the first to the last. */
#include "common/random.h"
#include "core/autoscaler/autoscaler_internal.h"
#include "core/controller.h"

#define LIST_RETRY_MIN_S 1.0
#define LIST_RETRY_MAX_S 2.0
#define LIST_INTERVAL_MIN_S 3.0
/* A machine's record that was first seen within this time may be newer than the cloud's list. */
#define RECORD_STABLE_S 1.0
/* The longest delay of a change in the list, as a multiple of the delay in the settings. */
#define LIST_LAG_MAX_FACTOR 2.0

/* Adds a listed instance that this leader doesn't know yet. Its request time is estimated from the listed
 * age. */
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

/* Returns whether a machine that existed at `since` must be in each page of the present listing, unless it is
 * gone: the state that a page shows, however old, is later. */
static gboolean must_be_listed(FkController *c, FkTime since) {
  return fk_time_between(since, c->autoscaling.autoscaler->listing_began_at) >
         LIST_LAG_MAX_FACTOR * c->settings->cloud_list_lag_s + RECORD_STABLE_S;
}

/* Returns whether `event` was since the first page of the present listing was requested. */
static gboolean is_since_listing_began(FkController *c, FkTime event) {
  return event.us >= c->autoscaling.autoscaler->listing_began_at.us;
}

static gboolean is_missing(FkController *c, const FkMachine *machine) {
  if (!machine->record || !must_be_listed(c, machine->record_seen_at) ||
      is_since_listing_began(c, machine->listed_at))
    return FALSE;
  /* contact with an owned machine shows that the list is wrong */
  return !machine->worker || !is_since_listing_began(c, machine->worker->failure_detector.last_contact_at);
}

/* Called at the end of a listing. A joined machine that none of its pages has is gone: the cloud took it
 * back. This holds whichever controller owns the machine, and also if the owner hears none of its machines
 * and so can't tell their loss from a partition of its own. The machine is marked as silent. Its termination,
 * which the cloud confirms for a machine that is gone as well, then proves that its tasks have ended. A
 * machine whose termination has been confirmed is only waiting for the removal of its record. */
static void mark_missing_machines(FkController *c) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->view->machines);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkMachine *machine = value;
    if (fk_machine_is_drained_as_silent(machine) ||
        g_hash_table_contains(c->autoscaling.autoscaler->terminated, machine->id) || !is_missing(c, machine))
      continue;
    g_message("machine missing from the cloud's list machine=%s spot=%s owner=%s allocations=%u", machine->id,
              machine->record->spot ? "yes" : "no",
              machine->shard && machine->shard->owner ? machine->shard->owner : "none",
              machine->allocations->len);
    fk_machine_registry_set_drain_reason(c, machine, FK_DRAIN_REASON_SILENT, -1);
  }
}

/* Called at the end of a listing. An instance that none of its pages has is gone, and won't join. */
static void mark_missing_instances(FkController *c) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, c->autoscaling.autoscaler->booting);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    FkBootingInstance *instance = value;
    if (instance->failed || !must_be_listed(c, instance->requested_at) ||
        is_since_listing_began(c, instance->listed_at))
      continue;
    g_message("booting instance missing from the cloud's list machine=%s spot=%s", instance->id,
              instance->spot ? "yes" : "no");
    instance->failed = TRUE;
  }
}

/* Marks a joined machine as silent if the cloud lists it as failed, unless the machine is drained already or
 * its record may be newer than the list. */
static void check_joined_machine(FkController *c, FkMachine *machine, const FkCloudMachine *listed) {
  if (listed->state == FK_CLOUD_MACHINE_FAILED && !machine->drain_reason &&
      fk_time_between(machine->record_seen_at, c->now) > RECORD_STABLE_S)
    fk_machine_registry_set_drain_reason(c, machine, FK_DRAIN_REASON_SILENT, -1);
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
  if (machine)
    machine->listed_at = c->now;
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
  if (a->list_reply_obsolete) {
    a->list_reply_obsolete = FALSE;
    return;
  }
  if (outcome != FK_OUTCOME_OK) {
    a->next_list_at = fk_time_add(now, fk_random_uniform(c->rand, LIST_RETRY_MIN_S, LIST_RETRY_MAX_S));
    g_clear_pointer(&a->list_cursor, g_free);
    return;
  }
  for (guint i = 0; i < listed->len; i++)
    machine_listed(c, listed->pdata[i]);
  g_clear_pointer(&a->list_cursor, g_free);
  if (more && listed->len) {
    const FkCloudMachine *last = listed->pdata[listed->len - 1];
    a->list_cursor = g_strdup(last->id);
    a->next_list_at = now;
  } else {
    a->next_list_at = fk_time_add(now, MAX(LIST_INTERVAL_MIN_S, c->settings->cloud_list_lag_s / 2));
    a->listed_once = TRUE;
    if (!more) {
      mark_missing_machines(c);
      mark_missing_instances(c);
    }
  }
}
