/* A digest of behaviour. Every output of every controller is written as text, one line an output, and the
 * text goes into a SHA-256: the simulated moment, the controller's number, and the output in the form in
 * which it goes over the wire, with what the wire form leaves out beside it. Kinds of outputs have fixed
 * words here, so the checksum depends neither on the names nor on the numbers of C identifiers; only the
 * protocol's own words and numbers (phases, priorities of transactions) are written. */
#include "simulation/digest.h"

#include <stdio.h>
#include <string.h>

#include "fair_share/quota.h"
#include "simulation/recovery.h"
#include "simulation/simulation.h"
#include "wire/cloud.h"
#include "wire/settings.h"
#include "wire/user.h"
#include "wire/worker.h"

#define FAULTS_MAX 10

/* The platform's settings that all schedules begin with. */
static const char platform[] =
    "{\"node\":\"c-0\",\"site\":\"north\",\"serve_on\":\"127.0.0.1:8080\",\"mesh_addr\":\"127.0.0.1:8081\","
    "\"seeds\":[{\"node\":\"c-1\",\"site\":\"north\",\"peer_addr\":\"127.0.0.2:8081\"},"
    "{\"node\":\"c-2\",\"site\":\"south\",\"peer_addr\":\"127.0.0.3:8081\"}],"
    "\"outside\":{\"cloud\":\"127.0.0.4:8443\",\"state\":\"127.0.0.4:2379\"},"
    "\"deployment\":{\"initial_size\":3,\"zones\":[\"north\",\"south\"],"
    "\"teams\":[{\"name\":\"red\",\"cpus\":8,\"cpus_max\":24,\"gpus\":0,\"gpus_max\":0},"
    "{\"name\":\"blue\",\"cpus\":8,\"cpus_max\":16,\"gpus\":0,\"gpus_max\":0}],"
    "\"objectives\":[{\"kind\":\"wait\",\"class\":\"web\",\"within_s\":1,\"share\":0.9}],"
    "\"workers\":{\"report_s\":3,\"lease_s\":20,\"gang_wait_s\":20,\"gang_peer_s\":4,\"cancel_s\":40},"
    "\"state\":{\"rps\":250,\"write_rps\":60,\"value_kb\":2,\"txn_ops\":32},"
    "\"cloud\":{\"rps\":6,\"list_lag_s\":6},"
    "\"resources\":{\"cpu\":0.2,\"ram_mb\":100,\"sockets\":1000},\"clock_off_ms\":1000}}";

typedef struct {
  const char *name;
  SimPlan plan;
  SimFault faults[FAULTS_MAX]; /* up to the first without a time; none: troubles come by chance, as planned */
  double limits;               /* the teams' guarantees and limits, times this; 0: as they are */
  gboolean limits_fall;        /* at plan.limits_at: 2 KiB to 1, 32 changes to 10, 60 writes a second to 42 */
} Schedule;

#define DAY .seconds = 220, .cancels = TRUE, .machines = 12
#define ALL_OF(s)                                                                                            \
  .seconds = (s), .lost = 0.03, .late = 0.03, .controller_crashes = TRUE, .partitions = TRUE,                \
  .outages = TRUE, .machine_deaths = TRUE, .machine_hangs = TRUE, .cancels = TRUE, .gangs = TRUE
#define FIVE .controllers = 5, .store_and_peer_faults = TRUE
#define PLANNED .seconds = 220, .cancels = TRUE, .late = 0.01, .machines = 30, .up = 24
#define TWICE PLANNED, .scale = 2
#define FULL PLANNED, .scale = 4, .run_s = 25

static const Schedule schedules[] = {
    /* troubles by chance */
    {"quiet",
     {.seed = 11, .seconds = 400, .submit_until_s = 200, .cancels = TRUE, .gangs = TRUE, .machines = 12}},
    {"losses", {.seed = 12, DAY, .lost = 0.05, .late = 0.03, .gangs = TRUE}},
    {"kills", {.seed = 13, DAY, .controller_crashes = TRUE, .late = 0.02}},
    {"cuts", {.seed = 14, DAY, .partitions = TRUE, .late = 0.02}},
    {"outages", {.seed = 15, DAY, .outages = TRUE}},
    {"machines", {.seed = 16, DAY, .machine_deaths = TRUE, .machine_hangs = TRUE, .gangs = TRUE}},
    {"gangs", {.seed = 617682, ALL_OF(220), .machines = 12}},
    {"everything", {.seed = 17, ALL_OF(220), .machines = 12}},
    {"five",
     {.seed = 18,
      .seconds = 220,
      .cancels = TRUE,
      .machines = 30,
      .up = 12,
      .late = 0.02,
      .lost = 0.02,
      .controller_crashes = TRUE,
      .partitions = TRUE,
      .outages = TRUE,
      .machine_deaths = TRUE,
      .machine_hangs = TRUE,
      .gangs = TRUE,
      .scale = 3,
      .rate_limited = TRUE,
      FIVE}},
    {"scale",
     {.seed = 19,
      .seconds = 60,
      .cancels = TRUE,
      .machines = 120,
      .up = 100,
      .scale = 15,
      .controller_crashes = TRUE,
      .controllers = 5},
     .limits = 20},
    {"zones_clocks", {.seed = 20, DAY, .mass_failures = TRUE, .late = 0.02, .scale = 2, .clock_skew = TRUE}},
    {"zones_limits", {.seed = 21, DAY, .mass_failures = TRUE, .late = 0.02, .scale = 2}, .limits = 0.3},
    {"stillborn",
     {.seed = 22,
      DAY,
      .mass_failures = TRUE,
      .controller_crashes = TRUE,
      .machine_hangs = TRUE,
      .up = 8,
      .scale = 2,
      .boot_failure_chance = 0.5}},
    {"masses_all",
     {.seed = 23,
      .seconds = 220,
      .lost = 0.03,
      .late = 0.03,
      .controller_crashes = TRUE,
      .partitions = TRUE,
      .outages = TRUE,
      .machine_deaths = TRUE,
      .machine_hangs = TRUE,
      .cancels = TRUE,
      .gangs = TRUE,
      .mass_failures = TRUE,
      .machines = 20,
      .up = 12,
      .scale = 2,
      .skip_starvation_check = TRUE,
      FIVE}},
    {"guests", {.seed = 24, DAY, .best_effort_teams = TRUE, .up = 10, .scale = 2}},
    {"guests_troubles",
     {.seed = 25,
      .seconds = 260,
      .submit_until_s = 150,
      .cancels = TRUE,
      .machines = 24,
      .best_effort_teams = TRUE,
      .up = 16,
      .scale = 3,
      .controller_crashes = TRUE,
      .outages = TRUE,
      .mass_failures = TRUE,
      .machine_deaths = TRUE,
      .pauses = TRUE,
      .late = 0.02}},
    {"faulty",
     {.seed = 26,
      DAY,
      .failing_job_chance = 0.2,
      .machine_deaths = TRUE,
      .controller_crashes = TRUE,
      .up = 10,
      .scale = 2}},
    {"freezes", {.seed = 27, DAY, .pauses = TRUE, .late = 0.02, .scale = 2}},
    {"deaf",
     {.seed = 28,
      DAY,
      .late = 0.02,
      .scale = 2,
      .inbound_partitions = TRUE,
      .up = 12,
      FIVE,
      .skip_starvation_check = TRUE},
     .limits = 20},
    {"copies",
     {.seed = 29, DAY, .late = 0.02, .scale = 2, .duplicate_chance = 0.15, .machine_hangs = TRUE, .up = 10},
     .limits = 20},
    {"alone",
     {.seed = 30, DAY, .late = 0.02, .scale = 2, .controller_isolation = TRUE, .up = 10},
     .limits = 20},
    {"quick",
     {.seed = 31, DAY, .late = 0.02, .scale = 2, .fast_restarts = TRUE, .controller_crashes = TRUE, .up = 12},
     .limits = 20},
    {"large",
     {.seed = 32,
      .seconds = 300,
      .submit_until_s = 260,
      .cancels = TRUE,
      .machines = 12,
      .up = 12,
      .scale = 4,
      .large_jobs = TRUE},
     .limits = 20},
    /* faults by plan */
    {"gap",
     {.seed = 33, TWICE, .run_s = 60},
     {{60, 14, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_LEADER},
      {59, 2.5, SIM_FAULT_CANCEL_BURST},
      {61.5, 60, SIM_FAULT_STORE_OUTAGE}},
     .limits = 20},
    {"late_writes",
     {.seed = 34, TWICE, .fast_restarts = TRUE},
     {{40, 100, SIM_FAULT_LATE_WRITES, .share = 0.6},
      {60, 60, SIM_FAULT_CANCEL_BURST},
      {70, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {85, 0, SIM_FAULT_CRASH, SIM_TARGET_ALL},
      {110, 20, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_FOLLOWER},
      {120, 40, SIM_FAULT_DUPLICATES}},
     .limits = 20},
    {"lost_answers",
     {.seed = 35, TWICE, .controllers = 5},
     {{30, 140, SIM_FAULT_LOST_REPLIES, .share = 0.5},
      {25, 150, SIM_FAULT_QUERY_BURST},
      {40, 100, SIM_FAULT_CANCEL_BURST},
      {70, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {100, 12, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_LEADER}},
     .limits = 20},
    {"lost_finals",
     {.seed = 36, TWICE},
     {{30, 140, SIM_FAULT_LOST_REPLIES, .share = 0.8, .key_prefix = "fk/d/"},
      {40, 100, SIM_FAULT_CANCEL_AT_COMPLETION, .share = 0.5},
      {80, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER}},
     .limits = 20},
    {"full_hang",
     {.seed = 37, FULL},
     {{60, 18, SIM_FAULT_CANCEL_RUNNING, .share = 0.5},
      {61, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {66, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {80, 30, SIM_FAULT_MACHINE_HANG, .share = 0.3},
      {90.5, 12, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_LEADER}},
     .limits = 4},
    {"full_deaf",
     {.seed = 38, FULL},
     {{55, 45, SIM_FAULT_INBOUND_PARTITION, .share = 0.5},
      {60, 0, SIM_FAULT_CANCEL_RUNNING, .share = 0.5},
      {61, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {110, 30, SIM_FAULT_OUTBOUND_PARTITION, .share = 0.5},
      {112, 0, SIM_FAULT_CANCEL_RUNNING, .share = 0.5},
      {114, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER}},
     .limits = 4},
    {"old_reports",
     {.seed = 39, TWICE, .fast_restarts = TRUE, .controllers = 5},
     {{30, 140, SIM_FAULT_STALE_HEARTBEATS, .share = 0.5},
      {50, 18, SIM_FAULT_MACHINE_HANG, .share = 0.5},
      {58, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {75, 0, SIM_FAULT_MACHINE_RESTART, .share = 0.5},
      {80, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {100, 30, SIM_FAULT_CANCEL_BURST},
      {140, 0, SIM_FAULT_CRASH, SIM_TARGET_ALL}},
     .limits = 20},
    {"held",
     {.seed = 40, TWICE},
     {{40, 120, SIM_FAULT_COMMAND_DELAY, .share = 0.7},
      {60, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {70, 18, SIM_FAULT_MACHINE_HANG, .share = 0.5},
      {80, 30, SIM_FAULT_CANCEL_BURST},
      {95, 25, SIM_FAULT_WORKER_PARTITION, SIM_TARGET_ANY},
      {115, 0, SIM_FAULT_MACHINE_RESTART}},
     .limits = 20},
    {"alone_cut",
     {.seed = 41, TWICE, .run_s = 30},
     {{50, 60, SIM_FAULT_ISOLATION, SIM_TARGET_LEADER},
      {70, 20, SIM_FAULT_CANCEL_BURST},
      {75, 0, SIM_FAULT_MACHINE_RESTART, .share = 0.7},
      {120, 25, SIM_FAULT_STORE_PARTITION, SIM_TARGET_LEADER},
      {122, 20, SIM_FAULT_PEER_REFUSAL}},
     .limits = 20},
    {"odd_looks",
     {.seed = 42, TWICE},
     {{10, 180, SIM_FAULT_INVALID_REQUESTS},
      {50, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {80, 12, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_LEADER},
      {100, 15, SIM_FAULT_STORE_OUTAGE},
      {5, 200, SIM_FAULT_QUERY_BURST}},
     .limits = 20},
    {"slow_zone",
     {.seed = 43, TWICE, .run_s = 30},
     {{40, 50, SIM_FAULT_STORE_SLOW},
      {60, 35, SIM_FAULT_ZONE_PARTITION},
      {62, 10, SIM_FAULT_CANCEL_BURST},
      {70, 0, SIM_FAULT_MACHINE_DEATH, .share = 0.3},
      {90, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {110, 30, SIM_FAULT_PAUSE, SIM_TARGET_FOLLOWER}},
     .limits = 20},
    {"cloud_out",
     {.seed = 44, TWICE, .run_s = 30, .boot_s = 2},
     {{50, 50, SIM_FAULT_CLOUD_OUTAGE},
      {52, 0, SIM_FAULT_MACHINE_DEATH, .share = 0.3},
      {54, 25, SIM_FAULT_MACHINE_HANG, .share = 0.4},
      {56, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {60, 20, SIM_FAULT_CANCEL_BURST}},
     .limits = 20},
    {"tiny",
     {.seed = 45, TWICE, .small_jobs_per_s = 4},
     {{20, 140, SIM_FAULT_CANCEL_AT_COMPLETION, .share = 0.1},
      {50, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {70, 12, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_LEADER},
      {90, 15, SIM_FAULT_STORE_OUTAGE},
      {140, 25, SIM_FAULT_MACHINE_HANG, .share = 0.3}},
     .limits = 20},
    {"chains",
     {.seed = 46, TWICE, .pipelines_per_s = 0.3, .fast_restarts = TRUE},
     {{5, 200, SIM_FAULT_QUERY_BURST},
      {40, 110, SIM_FAULT_CANCEL_BURST},
      {50, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {75, 0, SIM_FAULT_CRASH, SIM_TARGET_ALL},
      {90, 12, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_LEADER},
      {110, 15, SIM_FAULT_PAUSE, SIM_TARGET_LEADER}},
     .limits = 20},
    {"chains_deep",
     {.seed = 47, TWICE, .chain_length = 50, .fan_out = 300, .cancel_chain_at_s = 40, .controllers = 5},
     {{40.5, 30, SIM_FAULT_STORE_OUTAGE},
      {95, 0, SIM_FAULT_CRASH, SIM_TARGET_ALL},
      {110, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER}},
     .limits = 20},
    {"chains_restart",
     {.seed = 48, TWICE, .chain_length = 50, .fan_out = 300, .stop_polling_when_final = TRUE},
     {{60, 0, SIM_FAULT_CRASH, SIM_TARGET_ALL}, {105, 0, SIM_FAULT_CRASH, SIM_TARGET_ALL}},
     .limits = 20},
    {"limits_fall",
     {.seed = 49, PLANNED, .scale = 3, .pipelines_per_s = 0.3, .limits_reduced_at_s = 80},
     {{60, 80, SIM_FAULT_CANCEL_BURST},
      {85, 15, SIM_FAULT_STORE_OUTAGE},
      {88, 0, SIM_FAULT_CRASH, SIM_TARGET_LEADER},
      {115, 12, SIM_FAULT_STORE_REFUSAL, SIM_TARGET_ANY},
      {125, 0, SIM_FAULT_MACHINE_DEATH, .share = 0.3},
      {130, 20, SIM_FAULT_LATE_WRITES, .share = 0.3}},
     .limits = 20,
     .limits_fall = TRUE},
};

/* ------------------------------------------------------------------ what is sent, as text */

/* The checksum of one schedule under way. */
typedef struct {
  GChecksum *sum;
  guint64 outputs;
  GString *line;
  FILE *text; /* the same lines, or NULL */
} Digest;

/* A field of text: its name, and the text in quotes with control characters escaped; "-" where there is none.
 */
static void add_text(GString *s, const char *name, const char *text) {
  g_autofree char *escaped = text ? g_strescape(text, NULL) : NULL;
  if (escaped)
    g_string_append_printf(s, " %s=\"%s\"", name, escaped);
  else
    g_string_append_printf(s, " %s=-", name);
}

/* A whole number. */
static void add_number(GString *s, const char *name, guint64 n) {
  g_string_append_printf(s, " %s=%" G_GUINT64_FORMAT, name, n);
}

/* A number with a fraction, with all of its digits. */
static void add_real(GString *s, const char *name, double x) {
  char digits[G_ASCII_DTOSTR_BUF_SIZE];
  g_string_append_printf(s, " %s=%s", name, g_ascii_dtostr(digits, sizeof digits, x));
}

/* A body as the wire has it. */
static void add_body(GString *s, char *body /* taken */) {
  g_string_append_c(s, ' ');
  g_string_append(s, body);
  g_free(body);
}

/* A transaction: its conditions, its changes with records as `v` writes them, and its priority. */
static void add_transaction(GString *s, const FkVersion *v, const FkOutput *o) {
  add_number(s, "call", o->call);
  add_number(s, "priority", (guint64)o->priority);
  for (guint i = 0; i < o->guards->len; i++) {
    const FkGuard *guard = &g_array_index(o->guards, FkGuard, i);
    add_text(s, "if", guard->path);
    add_number(s, "stamp", guard->rev.n);
  }
  for (guint i = 0; i < o->writes->len; i++) {
    const FkWrite *w = &g_array_index(o->writes, FkWrite, i);
    add_text(s, w->record ? "put" : "delete", w->path);
    add_number(s, "tether", w->lease.n);
    if (w->record) {
      g_autoptr(cJSON) j = v->record_to_json(w->record);
      add_body(s, fk_json_print(j));
    }
  }
}

/* A reply to a user. */
static void add_user_reply(GString *s, const FkOutput *o) {
  g_string_append(s, " answer");
  add_number(s, "request", o->request.n);
  add_number(s, "status", (guint64)o->status);
  add_text(s, "job", o->job);
  add_number(s, "phase", (guint64)o->phase);
  add_number(s, "done", o->done);
  add_number(s, "running", o->running);
  add_real(s, "retry", o->retry_s);
  add_body(s, fk_user_print_reply(o));
}

/* A reply to a worker's heartbeat. */
static void add_heartbeat_reply(GString *s, const FkOutput *o) {
  g_string_append(s, " reply");
  add_number(s, "request", o->request.n);
  add_number(s, "status", (guint64)o->status);
  add_number(s, "token", o->fencing_token.n);
  add_real(s, "retry", o->retry_s);
  add_text(s, "to", o->redirect_to);
  add_body(s, fk_worker_print_reply(o));
}

/* Commands sent straight to a worker. */
static void add_commands(GString *s, const FkOutput *o) {
  g_string_append(s, " commands");
  add_number(s, "call", o->call);
  add_text(s, "machine", o->machine);
  add_text(s, "address", o->addr);
  add_body(s, fk_worker_print_commands(o));
}

/* A call to the cloud that changes something. */
static void add_cloud_call(GString *s, const char *what, guint64 call, char *body /* taken */) {
  g_string_append(s, what);
  add_number(s, "call", call);
  add_body(s, body);
}

/* One output, the way that its receiver sees it. */
static void add_output(GString *s, const FkVersion *v, const FkOutput *o) {
  switch (o->kind) {
  case FK_OUTPUT_USER_REPLY:
    add_user_reply(s, o);
    break;
  case FK_OUTPUT_HEARTBEAT_REPLY:
    add_heartbeat_reply(s, o);
    break;
  case FK_OUTPUT_COMMIT:
    g_string_append(s, " commit");
    add_transaction(s, v, o);
    break;
  case FK_OUTPUT_GET:
    g_string_append(s, " get");
    add_number(s, "call", o->call);
    add_text(s, "path", o->path);
    break;
  case FK_OUTPUT_LIST:
    g_string_append(s, " list");
    add_text(s, "prefix", o->path);
    add_text(s, "after", o->after);
    break;
  case FK_OUTPUT_WATCH:
    g_string_append(s, " watch");
    add_number(s, "from", o->rev.n);
    add_real(s, "seconds", o->seconds);
    break;
  case FK_OUTPUT_LEASE_GRANT:
    g_string_append(s, " hold_new");
    add_real(s, "seconds", o->seconds);
    break;
  case FK_OUTPUT_LEASE_KEEPALIVE:
    g_string_append(s, " hold_renew");
    add_number(s, "hold", o->rev.n);
    break;
  case FK_OUTPUT_COMMANDS:
    add_commands(s, o);
    break;
  case FK_OUTPUT_PEER_QUERY:
    g_string_append(s, " peer");
    add_text(s, "name", o->name);
    add_text(s, "address", o->addr);
    break;
  case FK_OUTPUT_LIST_INSTANCE_TYPES:
    g_string_append(s, " types");
    break;
  case FK_OUTPUT_PROVISION:
    add_cloud_call(s, " rent", o->call, fk_cloud_print_provision(o));
    break;
  case FK_OUTPUT_TERMINATE:
    add_cloud_call(s, " return", o->call, fk_cloud_print_terminate(o));
    break;
  case FK_OUTPUT_LIST_MACHINES:
    g_string_append(s, " machines");
    add_text(s, "after", o->after);
    break;
  }
  add_real(s, "delay", o->delay_s);
}

/* The world shows an output: one line goes into the checksum. */
static void sent(gpointer data, gint64 now_us, int controller, const FkVersion *v, const FkOutput *o) {
  Digest *d = data;
  g_string_printf(d->line, "%" G_GINT64_FORMAT " %d", now_us, controller);
  add_output(d->line, v, o);
  g_string_append_c(d->line, '\n');
  g_checksum_update(d->sum, (const guchar *)d->line->str, (gssize)d->line->len);
  if (d->text)
    fwrite(d->line->str, 1, d->line->len, d->text);
  d->outputs++;
}

/* ------------------------------------------------------------------ the schedules */

/* The settings of a schedule; owned by the caller. */
static FkSettings *settings_of(const Schedule *x) {
  FkSettings *s = fk_settings_parse(platform, strlen(platform), NULL);
  g_assert_nonnull(s);
  for (guint i = 0; x->limits > 0 && i < s->teams->len; i++) {
    ((FkTeam *)s->teams->pdata[i])->guaranteed_cpus *= x->limits;
    ((FkTeam *)s->teams->pdata[i])->max_cpus *= x->limits;
  }
  static const struct {
    const char *name;
    double guarantee, limit;
  } extra_teams[] = {{"guest", 0, 0}, {"unlimited", 8, 0}, {"borrower", 0, 8}};
  for (guint i = 0; x->plan.best_effort_teams && i < G_N_ELEMENTS(extra_teams); i++) {
    FkTeam *t = g_new0(FkTeam, 1);
    *t = (FkTeam){g_strdup(extra_teams[i].name), extra_teams[i].guarantee,
                  fk_quota_from_setting(extra_teams[i].limit), 0, fk_quota_from_setting(0)};
    g_ptr_array_add(s->teams, t);
  }
  if (x->limits_fall) {
    s->value_kb = 1;
    s->transaction_ops_max = 10;
    s->next_store_write_rps = 42;
  }
  return s;
}

void fk_digest_clear(FkDigest *d) {
  g_clear_pointer(&d->line, g_free);
  g_clear_pointer(&d->broken, g_free);
}

guint fk_digest_count(void) { return G_N_ELEMENTS(schedules); }

const char *fk_digest_name(guint index) { return schedules[index].name; }

FkDigest fk_digest_play(guint index, FILE *text) {
  const Schedule *x = &schedules[index];
  g_autoptr(FkSettings) usual = settings_of(&(Schedule){"", {0}}), s = settings_of(x);
  Digest d = {g_checksum_new(G_CHECKSUM_SHA256), 0, g_string_new(NULL), text};
  SimPlan plan = x->plan;
  plan.sent = sent;
  plan.sent_data = &d;
  plan.faults = x->faults;
  while (plan.fault_count < FAULTS_MAX && x->faults[plan.fault_count].at_s > 0)
    plan.fault_count++;
  plan.initial_txn_ops = x->limits_fall ? usual->transaction_ops_max : 0;
  SimResult r = sim_run(s, &plan);
  FkDigest result = {
      g_strdup_printf("%s %s %" G_GUINT64_FORMAT, x->name, g_checksum_get_string(d.sum), d.outputs),
      r.violation};
  g_checksum_free(d.sum);
  g_string_free(d.line, TRUE);
  return result;
}

int fk_sim_digest(int argc, char **argv) {
  g_autofree char *only = NULL, *out = NULL, *text = NULL;
  const GOptionEntry entries[] = {
      {"only", 0, 0, G_OPTION_ARG_STRING, &only, "Play this schedule alone", "NAME"},
      {"out", 0, 0, G_OPTION_ARG_FILENAME, &out, "Write the table into this file as well", "FILE"},
      {"text", 0, 0, G_OPTION_ARG_FILENAME, &text, "Write all that goes into the checksums into this file",
       "FILE"},
      {NULL}};
  g_autoptr(GOptionContext) context = g_option_context_new(NULL);
  g_autoptr(GError) error = NULL;
  g_option_context_add_main_entries(context, entries, NULL);
  g_option_context_set_summary(
      context, "Plays a fixed table of schedules in simulated time. A line a schedule: its name, a SHA-256\n"
               "over everything that its controllers send, with the moment and the controller, and the\n"
               "number of outputs. The same lines mean the same behaviour.");
  g_option_context_set_description(context, "Exit status: 0 played; 1 a rule was broken, or the file "
                                            "couldn't be written; 2 wrong use.");
  if (!g_option_context_parse(context, &argc, &argv, &error) || argc > 1) {
    fprintf(stderr, "flaxknot-sim digest: %s\n", error ? error->message : "too many arguments");
    return FK_SIM_EXIT_USAGE;
  }
  FILE *lines = text ? fopen(text, "w") : NULL;
  if (text && !lines) {
    fprintf(stderr, "flaxknot-sim digest: %s can't be written\n", text);
    return FK_SIM_EXIT_FAILED;
  }
  g_autoptr(GString) table = g_string_new(NULL);
  gboolean whole = TRUE;
  for (guint i = 0; i < fk_digest_count(); i++) {
    if (only && !g_str_equal(only, fk_digest_name(i)))
      continue;
    FkDigest d = fk_digest_play(i, lines);
    g_string_append_printf(table, "%s\n", d.line);
    printf("%s\n", d.line);
    fflush(stdout);
    if (d.broken)
      fprintf(stderr, "%s: a rule is broken: %s\n", fk_digest_name(i), d.broken);
    whole &= !d.broken;
    fk_digest_clear(&d);
  }
  if (lines && fclose(lines)) {
    fprintf(stderr, "flaxknot-sim digest: %s can't be written\n", text);
    whole = FALSE;
  }
  if (!table->len) {
    fprintf(stderr, "flaxknot-sim digest: no schedule is named %s\n", only);
    return FK_SIM_EXIT_USAGE;
  }
  if (out && !g_file_set_contents(out, table->str, (gssize)table->len, &error)) {
    fprintf(stderr, "flaxknot-sim digest: %s\n", error->message);
    return FK_SIM_EXIT_FAILED;
  }
  return whole ? FK_SIM_EXIT_OK : FK_SIM_EXIT_FAILED;
}
