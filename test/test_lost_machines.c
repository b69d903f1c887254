/* Tests of what a single controller core knows about machines that may be gone: machines that the cloud's
 * list lacks, zones of which the owner hears no worker, and workers whose leases expired long ago. The test
 * provides all of the core's inputs. */
#include <string.h>

#include "rig.h"

#define ZONE "north"
#define MACHINES 4

/* ---- machines that the cloud's list lacks ---- */

/* Ticks until the controller requests a page of the cloud's list. */
static void await_list_request(Rig *r) {
  for (guint step = 0; step < 100 && !find(r, FK_OUTPUT_LIST_MACHINES, NULL); step++) {
    tick(r, 0.1);
    watched(r, NULL);
  }
  g_assert_nonnull(find(r, FK_OUTPUT_LIST_MACHINES, NULL));
  g_ptr_array_set_size(r->outs, 0);
}

static void reply_with_page(Rig *r, FkOutcome outcome, const char *machine, gboolean more) {
  g_autoptr(GPtrArray) page = g_ptr_array_new_with_free_func(fk_cloud_machine_free);
  if (machine) {
    FkCloudMachine *listed = g_new0(FkCloudMachine, 1);
    *listed = (FkCloudMachine){g_strdup(machine),
                               g_strdup("127.0.0.1:9"),
                               g_strdup("box8"),
                               g_strdup(ZONE),
                               FALSE,
                               FK_CLOUD_MACHINE_RUNNING,
                               100};
    g_ptr_array_add(page, listed);
  }
  fk_controller_machines_received(r->c, r->now, outcome, page, more);
  pump(r);
}

static void set_leader(Rig *r, const char *node, const char *incarnation) {
  g_autofree char *record = g_strdup_printf("{\"node\":\"%s\",\"life\":\"%s\"}", node, incarnation);
  watched(r, (const char *const[]){"fk/l/leader", record, NULL});
  tick(r, 0.2);
}

/* A spot machine that the cloud took back isn't listed as failed: it is missing from the list. The leader
 * marks such a machine as silent, whoever owns it. The list lags and comes in pages, so that only a whole
 * listing says something, and only about machines that are old enough. */
static void test_missing_from_list(void) {
  static const struct {
    const char *what;
    double known_s;       /* since when the machine's record is known, at the first request */
    const char *pages[2]; /* the machine on each page; NULL: none */
    guint page_count;
    gboolean truncated;       /* the last page says that there are more */
    gboolean new_leadership;  /* leadership is lost and acquired again before the first reply */
    gboolean owned_and_heard; /* this controller owns the machine and hears it */
    gboolean marked;
  } cases[] = {
      {"missing", 20, {"i-9"}, 1, FALSE, FALSE, FALSE, TRUE},
      {"missing from an empty list", 20, {NULL}, 1, FALSE, FALSE, FALSE, TRUE},
      {"missing from both pages", 20, {"i-8", "i-9"}, 2, FALSE, FALSE, FALSE, TRUE},
      {"listed", 20, {"i-1"}, 1, FALSE, FALSE, FALSE, FALSE},
      {"listed on the first page", 20, {"i-1", "i-9"}, 2, FALSE, FALSE, FALSE, FALSE},
      {"the machine is younger than the list may be", 8, {"i-9"}, 1, FALSE, FALSE, FALSE, FALSE},
      {"the listing isn't complete", 20, {NULL}, 1, TRUE, FALSE, FALSE, FALSE},
      {"the page was requested under an earlier leadership", 20, {"i-9"}, 1, FALSE, TRUE, FALSE, FALSE},
      {"the listing after it is complete", 20, {"i-9", "i-9"}, 2, FALSE, TRUE, FALSE, TRUE},
      {"the machine is heard", 20, {"i-9"}, 1, FALSE, FALSE, TRUE, FALSE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_test_message("%s", cases[i].what);
    Rig *r = rig_new(cases[i].owned_and_heard);
    g_autofree char *page = group_key("m");
    set_leader(r, "c-0", "now");
    await_list_request(r);
    for (double s = 0; s < cases[i].known_s; s += 1) {
      if (cases[i].owned_and_heard)
        report_of(r, "i-1", ZONE);
      tick(r, 1);
      watched(r, NULL);
    }
    reply_with_page(r, FK_OUTCOME_REFUSED, NULL, FALSE);
    await_list_request(r);
    if (cases[i].owned_and_heard)
      report_of(r, "i-1", ZONE);
    if (cases[i].new_leadership) {
      set_leader(r, "c-2", "y");
      set_leader(r, "c-0", "now");
    }
    for (guint k = 0; k < cases[i].page_count; k++) {
      if (k)
        await_list_request(r);
      reply_with_page(r, FK_OUTCOME_OK, cases[i].pages[k], k + 1 < cases[i].page_count || cases[i].truncated);
    }
    tick(r, 1);
    g_assert_cmpint(find(r, FK_OUTPUT_COMMIT, page) != NULL, ==, cases[i].marked);
    rig_free(r);
  }
}

/* A machine that this leader has terminated is missing from the list until its record is removed, and isn't
 * marked for that: the write would go before those that others wait for. */
static void test_terminated_machine_missing(void) {
  Rig *r = rig_new(FALSE);
  g_autofree char *page = group_key("m");
  set_leader(r, "c-0", "now");
  await_list_request(r);
  watched(r,
          (const char *const[]){
              page, "{\"zone\":\"north\",\"m\":[[\"i-1\",\"box8\",\"127.0.0.1:9\",0,\"idle\",-1]]}", NULL});
  for (guint s = 0; s < 20; s++) {
    FkOutput *termination = find(r, FK_OUTPUT_TERMINATE, NULL);
    if (termination)
      fk_controller_terminate_received(r->c, r->now, termination->call, FK_OUTCOME_OK);
    tick(r, 1);
    watched(r, NULL);
  }
  reply_with_page(r, FK_OUTCOME_REFUSED, NULL, FALSE);
  await_list_request(r);
  reply_with_page(r, FK_OUTCOME_OK, "i-9", FALSE);
  g_assert_null(fk_view_find_machine(fk_controller_view(r->c), "i-1")->pending_drain_reason);
  rig_free(r);
}

/* An instance that was requested, was listed as booting and is missing now isn't counted as capacity. */
static void test_booting_instance_missing(void) {
  for (guint missing = 0; missing < 2; missing++) {
    Rig *r = rig_new(TRUE);
    set_leader(r, "c-0", "now");
    await_list_request(r);
    reply_with_page(r, FK_OUTCOME_OK, "i-9", FALSE);
    await_list_request(r);
    reply_with_page(r, FK_OUTCOME_OK, missing ? NULL : "i-9", FALSE);
    tick(r, 1.5);
    g_assert_cmpint(find(r, FK_OUTPUT_TERMINATE, NULL) != NULL, ==, missing);
    rig_free(r);
  }
}

/* ---- zones that can't be reached ---- */

/* An owner with machines in the zone, and a store lease. */
static Rig *owner_of_zone(GPtrArray *ids) {
  Rig *r = rig_new(TRUE);
  g_autofree char *page = group_key("m"), *members = machine_page(ZONE, "i", MACHINES, ids);
  watched(r, (const char *const[]){page, members, NULL});
  fk_controller_lease_grant_received(r->c, r->now, FK_OUTCOME_OK, (FkRev){7}, r->now);
  return r;
}

/* Lets every direct call end without a reply. */
static void fail_commands(Rig *r) {
  g_autoptr(GPtrArray) outs = g_steal_pointer(&r->outs);
  r->outs = g_ptr_array_new_with_free_func((GDestroyNotify)fk_output_free);
  for (guint i = 0; i < outs->len; i++) {
    const FkOutput *output = outs->pdata[i];
    if (output->kind == FK_OUTPUT_COMMANDS)
      fk_controller_command_reply_received(r->c, r->now, output->call, FK_OUTCOME_UNKNOWN, NULL);
  }
  pump(r);
}

/* Returns the record that the controller has written at the key and commits the write; NULL if there is none.
 * Owned by the output. */
static const FkRecord *committed_record(Rig *r, const char *key) {
  const FkOutput *transaction = find(r, FK_OUTPUT_COMMIT, key);
  for (guint i = 0; transaction && i < transaction->writes->len; i++) {
    const FkWrite *write = &g_array_index(transaction->writes, FkWrite, i);
    if (g_str_equal(write->path, key)) {
      fk_controller_commit_received(r->c, r->now, transaction->call, FK_OUTCOME_OK, (FkRev){r->epoch + 1},
                                    NULL);
      return write->record;
    }
  }
  return NULL;
}

static void hear_all(Rig *r, const GPtrArray *ids) {
  for (guint i = 0; i < ids->len; i++)
    report_of(r, ids->pdata[i], ZONE);
}

/* An owner that hears none of its workers of a zone says so in its record of the store, once it would know a
 * single worker to be silent, and no longer when it hears them again. */
static void test_owner_reports_unreachable_zone(void) {
  g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
  Rig *r = owner_of_zone(ids);
  const char *node_key = "fk/l/n/c-0";
  const FkRecord *record = NULL;
  double silent_s = 0;
  hear_all(r, ids);
  for (; silent_s < 30 && !record; silent_s += 0.5) {
    tick(r, 0.5);
    record = committed_record(r, node_key);
    if (!record)
      fail_commands(r);
    watched(r, NULL);
  }
  g_assert_nonnull(record);
  g_assert_cmpuint(g_strv_length(record->unreachable_zones), ==, 1);
  g_assert_cmpstr(record->unreachable_zones[0], ==, ZONE);
  g_assert_cmpfloat(silent_s, >, 2 * r->s->heartbeat_interval_s);
  watched(r, (const char *const[]){node_key, "{\"life\":\"now\",\"unreachable\":[\"" ZONE "\"]}", NULL});
  fail_commands(r);
  record = NULL;
  for (guint step = 0; step < 20 && !record; step++) {
    hear_all(r, ids);
    tick(r, 0.5);
    record = committed_record(r, node_key);
    watched(r, NULL);
  }
  g_assert_nonnull(record);
  g_assert_null(record->unreachable_zones);
  rig_free(r);
}

/* A machine of another owner that reports its zone as unreachable gets no task and doesn't count as capacity:
 * machines are provisioned for the tasks that would fit there. */
static void test_unreachable_machine_is_no_capacity(void) {
  static const struct {
    const char *what, *node; /* the record of the owner c-1 */
    gboolean usable;
  } cases[] = {
      {"the zone is unreachable", "{\"life\":\"x\",\"unreachable\":[\"north\"]}", FALSE},
      {"all zones are unreachable", "{\"life\":\"x\",\"unreachable\":[\"north\",\"south\"]}", FALSE},
      {"nothing is reported", "{\"life\":\"x\"}", TRUE},
      {"another zone is unreachable", "{\"life\":\"x\",\"unreachable\":[\"south\"]}", TRUE},
      {"reported by an incarnation that doesn't own the shard",
       "{\"life\":\"z\",\"unreachable\":[\"north\"]}", TRUE},
  };
  for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
    g_test_message("%s", cases[i].what);
    Rig *r = rig_new(FALSE);
    watched(r, (const char *const[]){"fk/l/n/c-1", cases[i].node, NULL});
    const FkMachine *machine = fk_view_find_machine(fk_controller_view(r->c), "i-1");
    g_assert_cmpint(fk_machine_is_usable(r->c, machine), ==, cases[i].usable);
    g_assert_cmpint(fk_machine_is_available(machine), ==, cases[i].usable);
    set_leader(r, "c-0", "now");
    await_list_request(r);
    reply_with_page(r, FK_OUTCOME_OK, "i-1", FALSE);
    tick(r, 2);
    g_assert_cmpint(find(r, FK_OUTPUT_PROVISION, NULL) == NULL, ==, cases[i].usable);
    /* the next owner of the shard has contact */
    g_autofree char *shard_key = group_key("g");
    watched(r, (const char *const[]){shard_key, "{\"node\":\"c-2\",\"life\":\"y\"}", NULL});
    g_assert_true(fk_machine_is_usable(r->c, machine));
    rig_free(r);
  }
}

/* While an owner hears none of a zone's workers, none of them counts as silent, since their tasks may be
 * running. Once a worker's lease has been over for as long as a lease, there is nothing left to protect, and
 * the machine is given up. */
static void test_given_up_after_lease(void) {
  g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
  Rig *r = owner_of_zone(ids);
  g_autofree char *page = group_key("m");
  gboolean marked = FALSE;
  double silent_s = 0;
  hear_all(r, ids);
  for (; silent_s < 100 && !marked; silent_s += 0.5) {
    tick(r, 0.5);
    marked = find(r, FK_OUTPUT_COMMIT, page) != NULL;
    fail_commands(r);
    watched(r, NULL);
  }
  g_test_message("given up after %.1f s", silent_s);
  g_assert_true(marked);
  g_assert_cmpfloat(silent_s, >, 2 * r->s->worker_lease_s);
  g_assert_cmpfloat(silent_s, <, 2.5 * r->s->worker_lease_s);
  rig_free(r);
}

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  g_test_add_func("/lost_machines/missing_from_list", test_missing_from_list);
  g_test_add_func("/lost_machines/terminated_machine_missing", test_terminated_machine_missing);
  g_test_add_func("/lost_machines/booting_instance_missing", test_booting_instance_missing);
  g_test_add_func("/lost_machines/owner_reports_unreachable_zone", test_owner_reports_unreachable_zone);
  g_test_add_func("/lost_machines/unreachable_machine_is_no_capacity",
                  test_unreachable_machine_is_no_capacity);
  g_test_add_func("/lost_machines/given_up_after_lease", test_given_up_after_lease);
  return g_test_run();
}
