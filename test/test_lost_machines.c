/* Tests of what a single controller core knows about machines that may be gone: machines that the cloud's
 * list lacks, zones of which the owner hears no worker, and workers whose leases expired long ago. The test
 * provides all of the core's inputs. */
#include "rig.h"

#define ZONE "north"

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

int main(int argc, char **argv) {
  g_test_init(&argc, &argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL);
  g_test_add_func("/lost_machines/missing_from_list", test_missing_from_list);
  g_test_add_func("/lost_machines/booting_instance_missing", test_booting_instance_missing);
  return g_test_run();
}
