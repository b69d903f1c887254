/* The controller: its life cycle, and the order in which its components run on a tick and after a change of
 * the view. */
#include "core/controller.h"
#include "common/random.h"
#include "core/controller_internal.h"
#include "core/scheduling/backfill_reservation.h"
#include "core/scheduling/capacity_index.h"
#include "core/scheduling/quota_partition.h"
#include "core/scheduling/scheduling_cycle.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/starvation.h"

#define TYPES_INTERVAL_S 60 /* interval of queries for the cloud's instance types */
#define TYPES_RETRY_MIN_S 0.6
#define TYPES_RETRY_MAX_S 1.4

/* ------------------------------------------------------------------ outputs and state */

FkOutput *fk_controller_next_output(FkController *c) { return g_queue_pop_head(c->outputs); }

FkView *fk_controller_view(FkController *c) { return c->view; }

FkCpuProfile *fk_controller_cpu_profile(FkController *c) { return &c->cpu_profile; }

void fk_controller_set_write_capacity(FkController *c, double writes) {
  c->launches.launch_writes_available = writes;
}

double fk_controller_request_share(FkController *c) { return 1.0 / fk_controller_live_count(c); }

double fk_controller_write_share(FkController *c) { return fk_store_write_share(c); }

gboolean fk_controller_is_serving(FkController *c, FkTime now) { return fk_controller_can_serve(c, now); }

/* ------------------------------------------------------------------ life cycle */

static void redirect_free(gpointer data) {
  FkRedirect *redirect = data;
  g_free(redirect->target);
  g_free(redirect);
}

FkController *fk_controller_new(const FkSettings *settings, const char *incarnation, guint32 seed,
                                FkTime now) {
  FkController *c = g_new0(FkController, 1);
  c->settings = settings;
  c->incarnation = g_strdup(incarnation);
  c->rand = g_rand_new_with_seed(seed);
  c->now = c->started_at = now;
  c->view = fk_view_new(settings);
  c->outputs = g_queue_new();
  c->calls.pending_transactions = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, fk_call_free);
  c->calls.pending_reads = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, fk_call_free);
  c->requests.pending = g_hash_table_new_full(g_direct_hash, g_direct_equal, fk_pending_request_free, NULL);
  c->requests.awaiting_read_check = g_queue_new();
  c->requests.cancellation_barrier = fk_cancellation_barrier_new();
  c->requests.awaiting_cancellation = g_queue_new();
  c->requests.awaiting_view = g_queue_new();
  c->requests.terminal_states_requested = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  c->store_session.peer_confirmed_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  c->workers.held_heartbeats = g_queue_new();
  c->launches.fence_needed = TRUE;
  c->launches.yields = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  c->launches.no_launch_reasons = g_hash_table_new(g_direct_hash, g_direct_equal);
  c->completions.pending_by_machine = g_hash_table_new(g_direct_hash, g_direct_equal);
  c->completions.pending = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fk_completion_free);
  c->workers.redirects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, redirect_free);
  c->workers.commands = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  c->autoscaling.instance_types = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fk_instance_type_free);
  c->workers.zones = g_array_new(FALSE, FALSE, sizeof(FkZoneReachability));
  c->autoscaling.autoscaler = fk_autoscaler_new(now);
  c->autoscaling.cost_accounting = fk_cost_accounting_new();
  c->leader.scheduling_queue = fk_scheduling_queue_new(settings);
  c->leader.capacity_index = fk_capacity_index_new();
  c->leader.backfill_reservations = fk_backfill_reservation_new();
  c->launches.reservations = g_array_new(FALSE, FALSE, sizeof(FkReservation));
  c->window.end = fk_time_add(now, settings->tuning.window_s);
  c->store_session.store_answered_at = now;
  c->launches.launch_writes_available = settings->transaction_ops_max;
  return c;
}

void fk_controller_free(FkController *c) {
  if (!c)
    return;
  FkOutput *output;
  while ((output = fk_controller_next_output(c)))
    fk_output_free(output);
  g_queue_free(c->outputs);
  g_hash_table_unref(c->calls.pending_transactions);
  g_hash_table_unref(c->calls.pending_reads);
  g_queue_free(c->requests.awaiting_read_check);
  g_queue_free(c->requests.awaiting_cancellation);
  g_queue_free(c->requests.awaiting_view);
  g_hash_table_unref(c->requests.terminal_states_requested);
  g_hash_table_unref(c->requests.pending);
  fk_cancellation_barrier_free(c->requests.cancellation_barrier);
  FkHeldHeartbeat *held;
  while ((held = g_queue_pop_head(c->workers.held_heartbeats))) {
    fk_heartbeat_free(held->heartbeat);
    g_free(held);
  }
  g_queue_free(c->workers.held_heartbeats);
  g_hash_table_unref(c->store_session.peer_confirmed_at);
  g_hash_table_unref(c->workers.redirects);
  g_hash_table_unref(c->completions.pending);
  g_hash_table_unref(c->completions.pending_by_machine);
  g_hash_table_unref(c->launches.yields);
  g_hash_table_unref(c->launches.no_launch_reasons);
  g_hash_table_unref(c->workers.commands);
  g_array_unref(c->workers.zones);
  g_array_unref(c->launches.reservations);
  g_hash_table_unref(c->autoscaling.instance_types);
  fk_autoscaler_free(c->autoscaling.autoscaler);
  fk_cost_accounting_free(c->autoscaling.cost_accounting);
  fk_scheduling_queue_free(c->leader.scheduling_queue);
  fk_capacity_index_free(c->leader.capacity_index);
  fk_backfill_reservation_free(c->leader.backfill_reservations);
  fk_view_free(c->view);
  g_rand_free(c->rand);
  g_free(c->store_session.list_after);
  g_free(c->incarnation);
  g_free(c);
}

void fk_controller_request_closed(FkController *c, FkRequestId request_id) {
  /* If the request is a heartbeat whose reply is being held, the heartbeat is dropped, because the reply
   * could no longer be delivered. For other requests, the daemon discards the reply. */
  for (GList *link = c->workers.held_heartbeats->head; link; link = link->next) {
    FkHeldHeartbeat *held = link->data;
    if (held->request.n == request_id.n) {
      fk_heartbeat_free(held->heartbeat);
      g_free(held);
      g_queue_delete_link(c->workers.held_heartbeats, link);
      return;
    }
  }
}

void fk_controller_instance_types_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *types) {
  c->now = now;
  c->autoscaling.types_pending = FALSE;
  if (outcome != FK_OUTCOME_OK) {
    c->autoscaling.next_types_query_at =
        fk_time_add(now, fk_random_uniform(c->rand, TYPES_RETRY_MIN_S, TYPES_RETRY_MAX_S));
    return;
  }
  c->autoscaling.next_types_query_at = fk_time_add(now, TYPES_INTERVAL_S);
  for (guint i = 0; i < types->len; i++) {
    FkInstanceType *type = types->pdata[i],
                   *known = g_hash_table_lookup(c->autoscaling.instance_types, type->name);
    types->pdata[i] = NULL;
    if (!known) {
      g_hash_table_replace(c->autoscaling.instance_types, type->name, type);
      continue;
    }
    /* The type is updated in place, because machines hold pointers to their types. */
    FkInstanceType old = *known;
    *known = *type;
    known->name = old.name; /* the table's key */
    old.name = type->name;
    *type = old;
    fk_instance_type_free(type);
  }
}

void fk_controller_tick(FkController *c, FkTime now, gint64 wall_us) {
  c->now = now;
  c->view->wall_offset_us = wall_us - now.us;
  fk_store_session_tick(c);
  fk_calls_retry_overdue(c);
  if (!c->autoscaling.types_pending && fk_time_reached(now, c->autoscaling.next_types_query_at)) {
    fk_output_new(c, FK_OUTPUT_LIST_INSTANCE_TYPES);
    c->autoscaling.types_pending = TRUE;
  }
  fk_requests_pass_read_barrier(c);
  if (!fk_controller_is_ready(c))
    return;
  fk_cpu_profile_run(c, FK_CPU_USER_REQUESTS, fk_requests_send_read_checks);
  fk_cpu_profile_run(c, FK_CPU_USER_REQUESTS, fk_job_dependencies_tick);
  fk_requests_reply_cancelled(c);
  fk_read_freshness_tick(c, fk_requests_awaited_rev(c));
  c->view->now = now;
  fk_view_update_service_arrival_rate(c->view);
  fk_view_review_failing_jobs(c->view);
  fk_cpu_profile_run(c, FK_CPU_SHARDS, fk_shard_ownership_tick);
  fk_cpu_profile_run(c, FK_CPU_USER_REQUESTS, fk_starvation_tick);
  fk_cpu_profile_run(c, FK_CPU_WORKERS, fk_workers_tick);
  fk_cpu_profile_run(c, FK_CPU_WORKERS, fk_completions_tick);
  fk_cpu_profile_run(c, FK_CPU_SHARDS, fk_windows_tick);
  fk_cpu_profile_run(c, FK_CPU_PREEMPTION, fk_leader_tick);
  fk_cpu_profile_run(c, FK_CPU_SHARDS, fk_machine_registry_tick);
  fk_cpu_profile_run(c, FK_CPU_SHARDS, fk_quota_partition_tick);
  fk_cpu_profile_run(c, FK_CPU_SCHEDULING, fk_scheduling_cycle_run);
}

/* Handles the reply to a watch. Then runs the components that react to changes of the view, without waiting
 * for the next tick. */
void fk_controller_watch_received(FkController *c, FkTime now, FkOutcome outcome, GPtrArray *events,
                                  FkRev store_rev, FkTime sent) {
  c->now = now;
  fk_store_session_watch_received(c, outcome, events, store_rev, sent);
  if (outcome != FK_OUTCOME_OK || !fk_controller_is_ready(c))
    return;
  fk_cpu_profile_run(c, FK_CPU_SHARDS, fk_shard_ownership_tick);
  fk_cpu_profile_run(c, FK_CPU_WORKERS, fk_workers_view_changed);
  fk_cpu_profile_run(c, FK_CPU_WORKERS, fk_completions_tick);
  fk_cpu_profile_run(c, FK_CPU_SCHEDULING, fk_scheduling_cycle_run);
  fk_cpu_profile_run(c, FK_CPU_PREEMPTION, fk_leader_view_changed);
}

void fk_controller_peer_progress_received(FkController *c, FkTime now, const char *peer,
                                          const char *incarnation, FkRev seen, FkRev applied,
                                          double store_age_s, FkTime sent) {
  c->now = c->store_session.peer_answered_at = now;
  fk_cancellation_barrier_note_applied(c->requests.cancellation_barrier, peer, applied);
  fk_requests_reply_cancelled(c);
  fk_read_freshness_peer_received(c, peer, incarnation, seen, store_age_s, sent);
}
