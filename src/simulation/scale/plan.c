#include "simulation/scale/plan.h"

#define CPU_HEADROOM 1.12     /* CPUs of a worker per task that it is planned to run */
#define TEAM_QUOTA_SHARES 4.0 /* a team's quota, in even shares of the region */

static const struct {
  const char *word;
  FkScaleFaultKind kind;
  double default_duration_s;
} fault_kinds[] = {{"kill", FK_SCALE_FAULT_KILL, 5},       {"stop", FK_SCALE_FAULT_STOP, 10},
                   {"rack", FK_SCALE_FAULT_RACK, 0},       {"zone", FK_SCALE_FAULT_ZONE, 0},
                   {"state", FK_SCALE_FAULT_STORE, 20},    {"apart", FK_SCALE_FAULT_PARTITION, 120},
                   {"restart", FK_SCALE_FAULT_RESTART, 0}, {"churn", FK_SCALE_FAULT_CHURN, 60}};

FkScalePlan *fk_scale_plan_new(void) {
  FkScalePlan *plan = g_new0(FkScalePlan, 1);
  *plan = (FkScalePlan){.regions = 1,
                        .zones = 3,
                        .controllers = 3,
                        .workers = 80,
                        .teams = 20,
                        .tasks_per_worker = 25,
                        .urgent_jobs_per_s = 1,
                        .tasks_per_job = 500,
                        .task_run_s = 20,
                        .duration_s = 60,
                        .ramp_s = 30,
                        .seed = 1,
                        .store_requests_per_s = 150,
                        .store_writes_per_s = 50,
                        .cloud_calls_per_s = 8,
                        .heartbeat_s = 10,
                        .lease_s = 42,
                        .cancel_s = 67,
                        .address_base = 20,
                        .worker_processes = 1,
                        .faults = g_array_new(FALSE, FALSE, sizeof(FkScaleFault))};
  return plan;
}

void fk_scale_plan_free(FkScalePlan *plan) {
  if (!plan)
    return;
  g_array_unref(plan->faults);
  g_free(plan->output_dir);
  g_free(plan->program);
  g_free(plan);
}

/* FALSE when the text is no number or a negative one. */
static gboolean parse_seconds(const char *text, double *seconds) {
  char *end = NULL;
  *seconds = g_ascii_strtod(text, &end);
  return end != text && !*end && *seconds >= 0;
}

static gboolean parse_fault(const char *text, FkScaleFault *fault) {
  g_auto(GStrv) parts = g_strsplit_set(text, "@:", 3);
  if (!parts[0] || !parts[1])
    return FALSE;
  for (guint i = 0; i < G_N_ELEMENTS(fault_kinds); i++) {
    if (!g_str_equal(parts[0], fault_kinds[i].word))
      continue;
    *fault = (FkScaleFault){.kind = fault_kinds[i].kind, .duration_s = fault_kinds[i].default_duration_s};
    return parse_seconds(parts[1], &fault->at_s) &&
           (!parts[2] || parse_seconds(parts[2], &fault->duration_s));
  }
  return FALSE;
}

gboolean fk_scale_plan_add_fault(FkScalePlan *plan, const char *text, GError **error) {
  FkScaleFault fault;
  if (parse_fault(text, &fault)) {
    g_array_append_val(plan->faults, fault);
    return TRUE;
  }
  g_set_error(
      error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
      "--fault %s: kill, stop, rack, zone, state, apart, restart or churn @SECONDS[:DURATION] is needed",
      text);
  return FALSE;
}

gboolean fk_scale_plan_has_fault(const FkScalePlan *plan, FkScaleFaultKind kind) {
  for (guint i = 0; i < plan->faults->len; i++)
    if (g_array_index(plan->faults, FkScaleFault, i).kind == kind)
      return TRUE;
  return FALSE;
}

gboolean fk_scale_plan_validate(const FkScalePlan *plan, GError **error) {
  const struct {
    const char *message;
    gboolean valid;
  } rules[] = {{"--regions: 1 to 50", plan->regions >= 1 && plan->regions <= 50},
               {"--zones: one a region at the least, 50 at the most",
                plan->zones >= plan->regions && plan->zones <= 50 * plan->regions},
               {"--controllers: one a region at the least, 20 at the most",
                plan->controllers >= plan->regions && plan->controllers <= 20 * plan->regions},
               {"--workers: 1 to 20000 a region",
                plan->workers >= plan->regions && plan->workers / plan->regions <= 20000},
               {"--teams: 1 to 1000", plan->teams >= 1 && plan->teams <= 1000},
               {"--tasks-per-worker: 1 to 200", plan->tasks_per_worker >= 1 && plan->tasks_per_worker <= 200},
               {"--tasks-per-job: 1 to 50000", plan->tasks_per_job >= 1 && plan->tasks_per_job <= 50000},
               {"--run: 1 to 3600 s", plan->task_run_s >= 1 && plan->task_run_s <= 3600},
               {"--starts: 0 or more", plan->task_starts_per_s >= 0},
               {"--urgent: 0 to 100", plan->urgent_jobs_per_s >= 0 && plan->urgent_jobs_per_s <= 100},
               {"--ramp: below --seconds", plan->ramp_s >= 0 && plan->ramp_s < plan->duration_s},
               {"--seconds: 10 to 3600", plan->duration_s >= 10 && plan->duration_s <= 3600},
               {"--fleet-processes: 1 to 16", plan->worker_processes >= 1 && plan->worker_processes <= 16},
               {"--base: 1 to 200", plan->address_base >= 1 && plan->address_base + plan->regions <= 250}};
  for (guint i = 0; i < G_N_ELEMENTS(rules); i++)
    if (!rules[i].valid) {
      g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE, "%s", rules[i].message);
      return FALSE;
    }
  return TRUE;
}

/* ------------------------------------------------------------------ JSON */

typedef struct {
  const char *key;
  gsize offset;
  gboolean is_integer;
} Field;

#define INTEGER(key, member)                                                                                 \
  { key, G_STRUCT_OFFSET(FkScalePlan, member), TRUE }
#define REAL(key, member)                                                                                    \
  { key, G_STRUCT_OFFSET(FkScalePlan, member), FALSE }
static const Field fields[] = {INTEGER("regions", regions),
                               INTEGER("zones", zones),
                               INTEGER("controllers", controllers),
                               INTEGER("workers", workers),
                               INTEGER("teams", teams),
                               INTEGER("tasks_per_job", tasks_per_job),
                               INTEGER("base", address_base),
                               INTEGER("fleet_processes", worker_processes),
                               REAL("tasks_per_worker", tasks_per_worker),
                               REAL("starts", task_starts_per_s),
                               REAL("urgent", urgent_jobs_per_s),
                               REAL("run_s", task_run_s),
                               REAL("seconds", duration_s),
                               REAL("ramp_s", ramp_s),
                               REAL("state_requests", store_requests_per_s),
                               REAL("state_writes", store_writes_per_s),
                               REAL("cloud_calls", cloud_calls_per_s),
                               REAL("report_s", heartbeat_s),
                               REAL("lease_s", lease_s),
                               REAL("cancel_s", cancel_s)};

cJSON *fk_scale_plan_to_json(const FkScalePlan *plan) {
  cJSON *json = cJSON_CreateObject(), *faults = cJSON_CreateArray();
  for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
    const Field *field = &fields[i];
    double value = field->is_integer ? G_STRUCT_MEMBER(guint, plan, field->offset)
                                     : G_STRUCT_MEMBER(double, plan, field->offset);
    cJSON_AddNumberToObject(json, field->key, value);
  }
  fk_json_add_u64(json, "seed", plan->seed);
  fk_json_add_u64(json, "begins_us", (guint64)plan->start_us);
  cJSON_AddStringToObject(json, "dir", plan->output_dir);
  for (guint i = 0; i < plan->faults->len; i++) {
    const FkScaleFault *fault = &g_array_index(plan->faults, FkScaleFault, i);
    g_autofree char *text =
        g_strdup_printf("%s@%g:%g", fault_kinds[fault->kind].word, fault->at_s, fault->duration_s);
    cJSON_AddItemToArray(faults, cJSON_CreateString(text));
  }
  cJSON_AddItemToObject(json, "faults", faults);
  return json;
}

FkScalePlan *fk_scale_plan_from_json(const cJSON *json) {
  FkScalePlan *plan = fk_scale_plan_new();
  for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
    const Field *field = &fields[i];
    double value = fk_json_num_or(json, field->key, 0);
    if (field->is_integer)
      G_STRUCT_MEMBER(guint, plan, field->offset) = (guint)value;
    else
      G_STRUCT_MEMBER(double, plan, field->offset) = value;
  }
  guint64 start_us = 0;
  fk_json_u64(json, "seed", &plan->seed);
  fk_json_u64(json, "begins_us", &start_us);
  plan->start_us = (gint64)start_us;
  plan->output_dir = g_strdup(fk_json_str(json, "dir"));
  const cJSON *fault;
  cJSON_ArrayForEach(fault, fk_json_get(json, "faults")) {
    fk_scale_plan_add_fault(plan, cJSON_GetStringValue(fault), NULL);
  }
  return plan;
}

FkScalePlan *fk_scale_plan_load(const char *file, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(file, &text, &len, error))
    return NULL;
  g_autoptr(cJSON) json = fk_json_parse(text, len);
  return fk_scale_plan_from_json(json);
}

/* ------------------------------------------------------------------ sizes */

guint fk_scale_region_share(guint total, guint regions, guint region) {
  return total / regions + (region < total % regions);
}

guint fk_scale_region_workers(const FkScalePlan *plan, guint region) {
  return fk_scale_region_share(plan->workers, plan->regions, region);
}

guint fk_scale_region_zones(const FkScalePlan *plan, guint region) {
  return fk_scale_region_share(plan->zones, plan->regions, region);
}

guint fk_scale_region_controllers(const FkScalePlan *plan, guint region) {
  return fk_scale_region_share(plan->controllers, plan->regions, region);
}

double fk_scale_worker_cpus(const FkScalePlan *plan) {
  return (double)(guint)(plan->tasks_per_worker * CPU_HEADROOM * FK_SCALE_TASK_CPUS + 0.999);
}

double fk_scale_team_share_cpus(const FkScalePlan *plan, guint region) {
  return fk_scale_region_workers(plan, region) * fk_scale_worker_cpus(plan) / plan->teams;
}

double fk_scale_team_quota_cpus(const FkScalePlan *plan, guint region) {
  return TEAM_QUOTA_SHARES * fk_scale_team_share_cpus(plan, region);
}
