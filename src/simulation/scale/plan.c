#include "simulation/scale/plan.h"

#include <string.h>

#include "wire/user.h"

#define SPARE_CPUS 1.12 /* a worker's CPUs, times the tasks that it is to run */
#define TASK_CPUS 1.0
#define TASK_MEM_GB 1.0
#define URGENT_TASKS_MOST 4
#define URGENT_RUN_S 10.0
#define IMAGES 20
#define IMAGE_GB 0.1
#define TEAM_GUARANTEE 0.5 /* of an even share of the region */
#define TEAM_LIMIT 4.0
#define REGION_NUMBERS G_GUINT64_CONSTANT(1000000000) /* ids of one region */

static const struct {
  const char *word;
  FkFaultKind kind;
  double usual_s;
} fault_words[] = {{"kill", FK_FAULT_KILL, 5},    {"stop", FK_FAULT_STOP, 10},
                   {"rack", FK_FAULT_RACK, 0},    {"zone", FK_FAULT_ZONE, 0},
                   {"state", FK_FAULT_STATE, 20}, {"apart", FK_FAULT_APART, 120},
                   {"churn", FK_FAULT_CHURN, 60}};

FkScalePlan *fk_scale_plan_new(void) {
  FkScalePlan *p = g_new0(FkScalePlan, 1);
  *p = (FkScalePlan){.regions = 1,
                     .zones = 3,
                     .controllers = 3,
                     .workers = 80,
                     .teams = 20,
                     .tasks_per_worker = 25,
                     .urgent = 1,
                     .tasks_per_job = 500,
                     .run_s = 20,
                     .seconds = 60,
                     .ramp_s = 30,
                     .seed = 1,
                     .state_requests = 150,
                     .state_writes = 50,
                     .cloud_calls = 8,
                     .report_s = 10,
                     .lease_s = 42,
                     .cancel_s = 67,
                     .base = 20,
                     .fleet_processes = 1,
                     .faults = g_array_new(FALSE, FALSE, sizeof(FkFault))};
  return p;
}

void fk_scale_plan_free(FkScalePlan *p) {
  if (!p)
    return;
  g_array_unref(p->faults);
  g_free(p->dir);
  g_free(p->program);
  g_free(p);
}

gboolean fk_scale_plan_add_fault(FkScalePlan *p, const char *text, GError **error) {
  g_auto(GStrv) parts = g_strsplit_set(text, "@:", 3);
  for (guint i = 0; parts[0] && parts[1] && i < G_N_ELEMENTS(fault_words); i++) {
    if (!g_str_equal(parts[0], fault_words[i].word))
      continue;
    char *end = NULL;
    FkFault f = {fault_words[i].kind, g_ascii_strtod(parts[1], &end), fault_words[i].usual_s};
    gboolean good = end != parts[1] && !*end && f.at_s >= 0;
    if (good && parts[2]) {
      f.for_s = g_ascii_strtod(parts[2], &end);
      good = end != parts[2] && !*end && f.for_s >= 0;
    }
    if (!good)
      break;
    g_array_append_val(p->faults, f);
    return TRUE;
  }
  g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
              "--fault %s: kill, stop, rack, zone, state, apart or churn @SECONDS[:DURATION] is needed",
              text);
  return FALSE;
}

gboolean fk_scale_plan_check(const FkScalePlan *p, GError **error) {
  const struct {
    const char *what;
    gboolean good;
  } rules[] = {
      {"--regions: 1 to 50", p->regions >= 1 && p->regions <= 50},
      {"--zones: one a region at the least, 50 at the most",
       p->zones >= p->regions && p->zones <= 50 * p->regions},
      {"--controllers: one a region at the least, 20 at the most",
       p->controllers >= p->regions && p->controllers <= 20 * p->regions},
      {"--workers: 1 to 20000 a region", p->workers >= p->regions && p->workers / p->regions <= 20000},
      {"--teams: 1 to 1000", p->teams >= 1 && p->teams <= 1000},
      {"--tasks-per-worker: 1 to 200", p->tasks_per_worker >= 1 && p->tasks_per_worker <= 200},
      {"--tasks-per-job: 1 to 50000", p->tasks_per_job >= 1 && p->tasks_per_job <= 50000},
      {"--run: 1 to 3600 s", p->run_s >= 1 && p->run_s <= 3600},
      {"--starts: 0 or more", p->starts >= 0},
      {"--urgent: 0 to 100", p->urgent >= 0 && p->urgent <= 100},
      {"--ramp: below --seconds", p->ramp_s >= 0 && p->ramp_s < p->seconds},
      {"--seconds: 10 to 3600", p->seconds >= 10 && p->seconds <= 3600},
      {"--fleet-processes: 1 to 16", p->fleet_processes >= 1 && p->fleet_processes <= 16},
      {"--base: 1 to 200", p->base >= 1 && p->base + p->regions <= 250}};
  for (guint i = 0; i < G_N_ELEMENTS(rules); i++)
    if (!rules[i].good) {
      g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE, "%s", rules[i].what);
      return FALSE;
    }
  return TRUE;
}

/* ------------------------------------------------------------------ the file */

typedef struct {
  const char *name;
  gsize offset;
  gboolean whole;
} Field;

#define WHOLE(name)                                                                                          \
  { #name, G_STRUCT_OFFSET(FkScalePlan, name), TRUE }
#define REAL(name)                                                                                           \
  { #name, G_STRUCT_OFFSET(FkScalePlan, name), FALSE }
static const Field fields[] = {
    WHOLE(regions),         WHOLE(zones),         WHOLE(controllers),   WHOLE(workers),
    WHOLE(teams),           WHOLE(tasks_per_job), WHOLE(base),          WHOLE(fleet_processes),
    REAL(tasks_per_worker), REAL(starts),         REAL(urgent),         REAL(run_s),
    REAL(seconds),          REAL(ramp_s),         REAL(state_requests), REAL(state_writes),
    REAL(cloud_calls),      REAL(report_s),       REAL(lease_s),        REAL(cancel_s)};

cJSON *fk_scale_plan_to_json(const FkScalePlan *p) {
  cJSON *o = cJSON_CreateObject(), *faults = cJSON_CreateArray();
  for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
    const Field *f = &fields[i];
    double n = f->whole ? G_STRUCT_MEMBER(guint, p, f->offset) : G_STRUCT_MEMBER(double, p, f->offset);
    cJSON_AddNumberToObject(o, f->name, n);
  }
  fk_json_add_u64(o, "seed", p->seed);
  fk_json_add_u64(o, "begins_us", (guint64)p->begins_us);
  cJSON_AddStringToObject(o, "dir", p->dir);
  for (guint i = 0; i < p->faults->len; i++) {
    const FkFault *f = &g_array_index(p->faults, FkFault, i);
    g_autofree char *text = g_strdup_printf("%s@%g:%g", fault_words[f->kind].word, f->at_s, f->for_s);
    cJSON_AddItemToArray(faults, cJSON_CreateString(text));
  }
  cJSON_AddItemToObject(o, "faults", faults);
  return o;
}

FkScalePlan *fk_scale_plan_from_json(const cJSON *o) {
  FkScalePlan *p = fk_scale_plan_new();
  for (guint i = 0; i < G_N_ELEMENTS(fields); i++) {
    const Field *f = &fields[i];
    if (f->whole)
      G_STRUCT_MEMBER(guint, p, f->offset) = (guint)fk_json_num_or(o, f->name, 0);
    else
      G_STRUCT_MEMBER(double, p, f->offset) = fk_json_num_or(o, f->name, 0);
  }
  guint64 begins = 0;
  fk_json_u64(o, "seed", &p->seed);
  fk_json_u64(o, "begins_us", &begins);
  p->begins_us = (gint64)begins;
  p->dir = g_strdup(fk_json_str(o, "dir"));
  const cJSON *j;
  cJSON_ArrayForEach(j, fk_json_get(o, "faults")) {
    fk_scale_plan_add_fault(p, cJSON_GetStringValue(j), NULL);
  }
  return p;
}

FkScalePlan *fk_scale_plan_load(const char *file, GError **error) {
  g_autofree char *text = NULL;
  gsize len;
  if (!g_file_get_contents(file, &text, &len, error))
    return NULL;
  g_autoptr(cJSON) o = fk_json_parse(text, len);
  return fk_scale_plan_from_json(o);
}

/* ------------------------------------------------------------------ sizes and addresses */

guint fk_scale_part(guint all, guint regions, guint region) {
  return all / regions + (region < all % regions);
}

guint fk_scale_region_workers(const FkScalePlan *p, guint region) {
  return fk_scale_part(p->workers, p->regions, region);
}

guint fk_scale_region_zones(const FkScalePlan *p, guint region) {
  return fk_scale_part(p->zones, p->regions, region);
}

guint fk_scale_region_controllers(const FkScalePlan *p, guint region) {
  return fk_scale_part(p->controllers, p->regions, region);
}

double fk_scale_worker_cpus(const FkScalePlan *p) {
  return (double)(guint)(p->tasks_per_worker * SPARE_CPUS * TASK_CPUS + 0.999);
}

char *fk_scale_fleet_name(guint region, guint part) {
  return part ? g_strdup_printf("fleet-%u-%u", region, part) : g_strdup_printf("fleet-%u", region);
}

char *fk_scale_state_addr(const FkScalePlan *p, guint region) {
  return g_strdup_printf("127.%u.0.1:2379", p->base + region);
}

char *fk_scale_cloud_addr(const FkScalePlan *p, guint region) {
  return g_strdup_printf("127.%u.0.2:8443", p->base + region);
}

char *fk_scale_user_addr(const FkScalePlan *p, guint region, guint controller) {
  return g_strdup_printf("127.%u.0.%u:8080", p->base + region, 10 + controller);
}

char *fk_scale_mesh_addr(const FkScalePlan *p, guint region, guint controller) {
  return g_strdup_printf("127.%u.0.%u:8081", p->base + region, 10 + controller);
}

#define PER_BLOCK 250

char *fk_scale_worker_addr(const FkScalePlan *p, guint region, guint machine) {
  return g_strdup_printf("127.%u.%u.%u:9000", p->base + region, 1 + machine / PER_BLOCK,
                         1 + machine % PER_BLOCK);
}

char *fk_scale_zone(guint region, guint zone) { return g_strdup_printf("region%u-%c", region, 'a' + zone); }

char *fk_scale_node(guint region, guint controller) {
  return g_strdup_printf("region%u-control%u", region, controller);
}

/* ------------------------------------------------------------------ settings */

static void add_addresses(cJSON *o, const FkScalePlan *p, guint region, guint controller) {
  g_autofree char *node = fk_scale_node(region, controller),
                  *zone = fk_scale_zone(region, controller % fk_scale_region_zones(p, region)),
                  *user = fk_scale_user_addr(p, region, controller),
                  *mesh = fk_scale_mesh_addr(p, region, controller), *state = fk_scale_state_addr(p, region),
                  *cloud = fk_scale_cloud_addr(p, region);
  cJSON_AddStringToObject(o, "node", node);
  cJSON_AddStringToObject(o, "site", zone);
  cJSON_AddStringToObject(o, "serve_on", user);
  cJSON_AddStringToObject(o, "mesh_addr", mesh);
  cJSON *seeds = cJSON_AddArrayToObject(o, "seeds"), *outside = cJSON_AddObjectToObject(o, "outside");
  for (guint i = 0; i < fk_scale_region_controllers(p, region); i++) {
    if (i == controller)
      continue;
    g_autofree char *peer = fk_scale_node(region, i),
                    *site = fk_scale_zone(region, i % fk_scale_region_zones(p, region)),
                    *addr = fk_scale_mesh_addr(p, region, i);
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "node", peer);
    cJSON_AddStringToObject(j, "site", site);
    cJSON_AddStringToObject(j, "peer_addr", addr);
    cJSON_AddItemToArray(seeds, j);
  }
  cJSON_AddStringToObject(outside, "cloud", cloud);
  cJSON_AddStringToObject(outside, "state", state);
}

static char *team_name(guint team) { return g_strdup_printf("team-%03u", team); }

static double team_share(const FkScalePlan *p, guint region) {
  return fk_scale_region_workers(p, region) * fk_scale_worker_cpus(p) / p->teams;
}

double fk_scale_team_limit(const FkScalePlan *p, guint region) { return TEAM_LIMIT * team_share(p, region); }

static void add_teams(cJSON *deployment, const FkScalePlan *p, guint region) {
  cJSON *teams = cJSON_AddArrayToObject(deployment, "teams");
  for (guint i = 0; i < p->teams; i++) {
    g_autofree char *name = team_name(i);
    cJSON *j = cJSON_CreateObject();
    cJSON_AddStringToObject(j, "name", name);
    cJSON_AddNumberToObject(j, "cpus", TEAM_GUARANTEE * team_share(p, region));
    cJSON_AddNumberToObject(j, "cpus_max", fk_scale_team_limit(p, region));
    cJSON_AddNumberToObject(j, "gpus", 0);
    cJSON_AddNumberToObject(j, "gpus_max", 0);
    cJSON_AddItemToArray(teams, j);
  }
}

static void add_objective(cJSON *objectives, const char *kind, const char *name, double within_s) {
  cJSON *j = cJSON_CreateObject();
  cJSON_AddStringToObject(j, "kind", kind);
  cJSON_AddStringToObject(j, "class", name);
  cJSON_AddNumberToObject(j, "within_s", within_s);
  cJSON_AddNumberToObject(j, "share", 0.9);
  cJSON_AddItemToArray(objectives, j);
}

static void add_rates(cJSON *deployment, const FkScalePlan *p) {
  cJSON *workers = cJSON_AddObjectToObject(deployment, "workers"),
        *state = cJSON_AddObjectToObject(deployment, "state"),
        *cloud = cJSON_AddObjectToObject(deployment, "cloud"),
        *resources = cJSON_AddObjectToObject(deployment, "resources");
  cJSON_AddNumberToObject(workers, "report_s", p->report_s);
  cJSON_AddNumberToObject(workers, "lease_s", p->lease_s);
  cJSON_AddNumberToObject(workers, "cancel_s", p->cancel_s);
  cJSON_AddNumberToObject(workers, "gang_wait_s", 45);
  cJSON_AddNumberToObject(workers, "gang_peer_s", 5);
  cJSON_AddNumberToObject(state, "rps", p->state_requests);
  cJSON_AddNumberToObject(state, "write_rps", p->state_writes);
  cJSON_AddNumberToObject(state, "value_kb", 32);
  cJSON_AddNumberToObject(state, "txn_ops", 24);
  cJSON_AddNumberToObject(cloud, "rps", p->cloud_calls);
  cJSON_AddNumberToObject(cloud, "list_lag_s", 10);
  cJSON_AddNumberToObject(resources, "cpu", 1);
  cJSON_AddNumberToObject(resources, "ram_mb", 2000);
  cJSON_AddNumberToObject(resources, "sockets", 8000);
  cJSON_AddNumberToObject(deployment, "clock_off_ms", 100);
}

cJSON *fk_scale_settings(const FkScalePlan *p, guint region, guint controller) {
  cJSON *o = cJSON_CreateObject();
  add_addresses(o, p, region, controller);
  cJSON *deployment = cJSON_AddObjectToObject(o, "deployment");
  cJSON_AddNumberToObject(deployment, "initial_size", fk_scale_region_controllers(p, region));
  cJSON *zones = cJSON_AddArrayToObject(deployment, "zones");
  for (guint z = 0; z < fk_scale_region_zones(p, region); z++) {
    g_autofree char *zone = fk_scale_zone(region, z);
    cJSON_AddItemToArray(zones, cJSON_CreateString(zone));
  }
  add_teams(deployment, p, region);
  cJSON *objectives = cJSON_AddArrayToObject(deployment, "objectives");
  add_objective(objectives, "wait", "urgent", 1.8);
  add_objective(objectives, "finished", "bulk", 3 * p->run_s);
  add_rates(deployment, p);
  return o;
}

/* ------------------------------------------------------------------ jobs */

/* Ids stay in the form that users' ids always have. */
char *fk_scale_job_id(guint region, guint64 number) {
  return g_strdup_printf("run-%012" G_GUINT64_FORMAT, (region + 1) * REGION_NUMBERS + number);
}

/* A number from 0 to 1 that follows from the run, a job and a further number alone. */
static double draw(const FkScalePlan *p, guint64 job, guint64 more) {
  guint64 x =
      job * G_GUINT64_CONSTANT(0x9e3779b97f4a7c15) + more * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9) + p->seed;
  x = (x ^ (x >> 30)) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * G_GUINT64_CONSTANT(0x94d049bb133111eb);
  return (double)((x ^ (x >> 31)) >> 11) / 9007199254740992.0;
}

enum { DRAW_TEAM = 1, DRAW_TASKS, DRAW_IMAGE, DRAW_RUNS };

static guint64 job_number(const char *id) { return g_ascii_strtoull(id + strlen("run-"), NULL, 10); }

gboolean fk_scale_job_urgent(const FkSpec *s) { return s->priority == FK_JOB_PRIORITY_HIGH; }

/* A quarter of the teams have urgent work alone: their limits aren't used up by bulk jobs of their own. */
static guint job_team(const FkScalePlan *p, guint64 number, gboolean urgent) {
  guint of_urgent = MAX(1, p->teams / 4), of_bulk = MAX(1, p->teams - of_urgent);
  double part = draw(p, number, DRAW_TEAM);
  return urgent ? p->teams - of_urgent + (guint)(part * of_urgent) : (guint)(part * of_bulk);
}

FkSpec *fk_scale_job(const FkScalePlan *p, const char *id) {
  if (!fk_user_id_is_valid(id) || job_number(id) < REGION_NUMBERS)
    return NULL;
  guint64 number = job_number(id);
  gboolean urgent = number % 2;
  FkSpec *s = fk_spec_new();
  s->id = g_strdup(id);
  s->class_name = g_strdup(urgent ? "urgent" : "bulk");
  s->team = team_name(job_team(p, number, urgent));
  s->shape = FK_SHAPE_ARRAY;
  s->priority = urgent ? FK_JOB_PRIORITY_HIGH : FK_JOB_PRIORITY_NORMAL;
  double part = draw(p, number, DRAW_TASKS);
  s->tasks = (guint32)(urgent ? 1 + part * URGENT_TASKS_MOST : 1 + (0.5 + part) * p->tasks_per_job);
  s->cpus = TASK_CPUS;
  s->mem_gb = TASK_MEM_GB;
  s->image = g_strdup_printf("image-%02u", (guint)(draw(p, number, DRAW_IMAGE) * IMAGES));
  s->image_gb = IMAGE_GB;
  s->estimate_s = urgent ? URGENT_RUN_S : p->run_s;
  s->deadline_s = -1;
  return s;
}

double fk_scale_task_s(const FkScalePlan *p, const FkSpec *s, guint32 task) {
  return s->estimate_s * (0.5 + draw(p, job_number(s->id), DRAW_RUNS + task));
}
