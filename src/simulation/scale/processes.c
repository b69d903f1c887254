#include "simulation/scale/processes.h"
#include "simulation/scale/addresses.h"
#include "simulation/scale/controller_settings.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "net/http_client.h"
#include "simulation/scale/metrics_log.h"

#define MEMORY_MOST_MB 12000.0
#define UP_WITHIN_S 30.0
#define ASK_UP_MS 500
#define MEASURE_MS 1000
#define AFTER_S 3.0 /* the stand-ins end by themselves */

typedef struct {
  GPid pid; /* 0: not running */
  char *name;
  gboolean controller;
  guint region, number; /* of the controller, or of the fleet's part */
  gboolean up, expected_to_end;
  FkMetricsLog *series; /* controllers only: the stand-ins write their own */
} Process;

struct FkProcesses {
  const FkScalePlan *plan;
  GPtrArray *all; /* Process */
  FkHttpClient *http;
  GMainLoop *loop;
  char *wrong;
  double memory_most_mb;
  gboolean over;
};

static void process_free(gpointer p) {
  Process *x = p;
  fk_metrics_log_free(x->series);
  g_free(x->name);
  g_free(x);
}

static char *path_in(const FkScalePlan *p, const char *name, const char *ending) {
  g_autofree char *base = g_strconcat(name, ending, NULL);
  return g_build_filename(p->output_dir, base, NULL);
}

/* ------------------------------------------------------------------ starting */

static void log_into(gpointer path) {
  int fd = open(path, O_CREAT | O_WRONLY | O_APPEND, 0644);
  if (fd >= 0)
    dup2(fd, STDERR_FILENO);
}

static gboolean spawn(const FkScalePlan *p, Process *x, char **argv, char **environment, GError **error) {
  g_autofree char *log = path_in(p, x->name, ".log");
  return g_spawn_async(NULL, argv, environment, G_SPAWN_DO_NOT_REAP_CHILD, log_into, log, &x->pid, error);
}

static gboolean write_json(const char *path, cJSON *o /* taken */, GError **error) {
  g_autoptr(cJSON) own = o;
  g_autofree char *text = fk_json_print(own);
  return g_file_set_contents(path, text, -1, error);
}

/* Idle machines stay: what is measured is the load, not the renting. */
#define KEEP_IDLE_S 600

static gboolean spawn_controller(const FkScalePlan *p, Process *x, GError **error) {
  g_autofree char *settings = path_in(p, x->name, ".json"), *wishes = path_in(p, "operator", ".json");
  cJSON *own = cJSON_CreateObject();
  cJSON_AddNumberToObject(own, "idle_s", KEEP_IDLE_S);
  if (!write_json(wishes, own, error) ||
      !write_json(settings, fk_scale_controller_settings(p, x->region, x->number), error))
    return FALSE;
  g_auto(GStrv) environment = g_environ_setenv(g_get_environ(), "LOG_LEVEL", "info", TRUE);
  environment = g_environ_setenv(environment, "FLAXKNOT_OPERATOR", wishes, TRUE);
  char *argv[] = {p->program, "serve", "--config", settings, NULL};
  return spawn(p, x, argv, environment, error);
}

static gboolean spawn_stand_in(const FkScalePlan *p, Process *x, const char *role, GError **error) {
  g_autofree char *plan = path_in(p, "plan", ".json"), *region = g_strdup_printf("%u", x->region),
                  *part = g_strdup_printf("%u", x->number), *self = g_file_read_link("/proc/self/exe", error);
  char *argv[] = {self,       "scale", "--play", (char *)role, "--plan", plan,
                  "--region", region,  "--part", part,         NULL};
  return self && spawn(p, x, argv, NULL, error);
}

/* Its log is empty: one of an earlier run in the same folder isn't counted. */
static Process *add(FkProcesses *ps, char *name /* taken */, guint region) {
  Process *x = g_new0(Process, 1);
  g_autofree char *log = path_in(ps->plan, name, ".log");
  g_unlink(log);
  x->name = name;
  x->region = region;
  g_ptr_array_add(ps->all, x);
  return x;
}

static gboolean start_fleet(FkProcesses *ps, guint region, GError **error) {
  for (guint part = 0; part < ps->plan->worker_processes; part++) {
    Process *x = add(ps, fk_scale_worker_process_name(region, part), region);
    x->number = part;
    if (!spawn_stand_in(ps->plan, x, "fleet", error))
      return FALSE;
  }
  return TRUE;
}

static gboolean start_region(FkProcesses *ps, guint region, GError **error) {
  static const char *const roles[] = {"state", "users"};
  if (!start_fleet(ps, region, error))
    return FALSE;
  for (guint i = 0; i < G_N_ELEMENTS(roles); i++) {
    Process *x = add(ps, g_strdup_printf("%s-%u", roles[i], region), region);
    if (!spawn_stand_in(ps->plan, x, roles[i], error))
      return FALSE;
  }
  for (guint i = 0; i < fk_scale_region_controllers(ps->plan, region); i++) {
    Process *x = add(ps, g_strdup_printf("control-%u-%u", region, i), region);
    x->controller = TRUE;
    x->number = i;
    if (!spawn_controller(ps->plan, x, error))
      return FALSE;
    x->series = fk_metrics_log_new(ps->plan->output_dir, x->name, ps->plan->start_us, (guint)x->pid, error);
    if (!x->series)
      return FALSE;
    fk_metrics_log_start(x->series, NULL, NULL);
  }
  return TRUE;
}

static void on_end(GPid pid, int status, gpointer data);

FkProcesses *fk_processes_start(const FkScalePlan *p, GError **error) {
  FkProcesses *ps = g_new0(FkProcesses, 1);
  ps->plan = p;
  ps->all = g_ptr_array_new_with_free_func(process_free);
  ps->http = fk_http_client_new_for_many_hosts(100, 65536);
  ps->loop = g_main_loop_new(NULL, FALSE);
  for (guint r = 0; r < p->regions; r++)
    if (!start_region(ps, r, error)) {
      fk_processes_free(ps);
      return NULL;
    }
  for (guint i = 0; i < ps->all->len; i++)
    g_child_watch_add(((Process *)ps->all->pdata[i])->pid, on_end, ps);
  return ps;
}

/* ------------------------------------------------------------------ watching */

static void stop_for(FkProcesses *ps, char *why /* taken */) {
  if (ps->wrong)
    g_free(why);
  else
    ps->wrong = why;
  g_main_loop_quit(ps->loop);
}

static void on_end(GPid pid, int status, gpointer data) {
  FkProcesses *ps = data;
  for (guint i = 0; i < ps->all->len; i++) {
    Process *x = ps->all->pdata[i];
    if (x->pid != pid)
      continue;
    x->pid = 0;
    if (!ps->over && !x->expected_to_end)
      stop_for(ps, g_strdup_printf("%s ended by itself (status %d); see its log", x->name, status));
  }
}

static void up_answered(gpointer data, guint status, const char *body, gsize len) {
  ((Process *)data)->up |= status == 200;
}

static gboolean ask_up(gpointer data) {
  FkProcesses *ps = data;
  gboolean all = TRUE;
  double since_s = (double)(g_get_monotonic_time() - ps->plan->start_us) / 1e6;
  for (guint i = 0; i < ps->all->len; i++) {
    Process *x = ps->all->pdata[i];
    if (!x->controller || x->up)
      continue;
    all = FALSE;
    if (since_s > UP_WITHIN_S) {
      stop_for(ps, g_strdup_printf("%s didn't come up within %g s; see its log", x->name, UP_WITHIN_S));
      return G_SOURCE_REMOVE;
    }
    g_autofree char *addr = fk_scale_user_addr(ps->plan, x->region, x->number);
    fk_http_client_call(ps->http, "GET", addr, "/up", NULL, 1, up_answered, x);
  }
  return all ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static gboolean measure(gpointer data) {
  FkProcesses *ps = data;
  double mb = 0;
  for (guint i = 0; i < ps->all->len; i++)
    mb += fk_process_memory_mb((guint)((Process *)ps->all->pdata[i])->pid);
  ps->memory_most_mb = MAX(ps->memory_most_mb, mb);
  if (mb > MEMORY_MOST_MB)
    stop_for(ps, g_strdup_printf("too little memory: all processes together hold %.0f MB of %.0f", mb,
                                 MEMORY_MOST_MB));
  return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ faults */

/* A region's first controller: the first to be up, and so most often the leader. */
static Process *victim(FkProcesses *ps) {
  for (guint i = 0; i < ps->all->len; i++) {
    Process *x = ps->all->pdata[i];
    if (x->controller)
      return x;
  }
  return NULL;
}

static gboolean start_again(gpointer data) {
  FkProcesses *ps = data;
  Process *x = victim(ps);
  g_autoptr(GError) error = NULL;
  if (ps->over || x->pid)
    return G_SOURCE_REMOVE;
  if (!spawn_controller(ps->plan, x, &error)) {
    stop_for(ps, g_strdup_printf("%s couldn't be started again: %s", x->name, error->message));
    return G_SOURCE_REMOVE;
  }
  x->expected_to_end = FALSE;
  fk_metrics_log_set_pid(x->series, (guint)x->pid);
  g_child_watch_add(x->pid, on_end, ps);
  return G_SOURCE_REMOVE;
}

static gboolean go_on(gpointer data) {
  Process *x = victim(data);
  if (x->pid)
    kill(x->pid, SIGCONT);
  return G_SOURCE_REMOVE;
}

typedef struct {
  FkProcesses *processes;
  FkScaleFault fault;
} Planned;

static gboolean strike(gpointer data) {
  g_autofree Planned *planned = data;
  FkProcesses *ps = planned->processes;
  Process *x = victim(ps);
  guint back_ms = (guint)(planned->fault.duration_s * 1000);
  if (ps->over || !x->pid)
    return G_SOURCE_REMOVE;
  if (planned->fault.kind == FK_SCALE_FAULT_KILL) {
    x->expected_to_end = TRUE;
    kill(x->pid, SIGKILL);
    g_timeout_add(back_ms, start_again, ps);
  } else {
    kill(x->pid, SIGSTOP);
    g_timeout_add(back_ms, go_on, ps);
  }
  return G_SOURCE_REMOVE;
}

static void plan_faults(FkProcesses *ps) {
  for (guint i = 0; i < ps->plan->faults->len; i++) {
    FkScaleFault f = g_array_index(ps->plan->faults, FkScaleFault, i);
    if (f.kind != FK_SCALE_FAULT_KILL && f.kind != FK_SCALE_FAULT_STOP)
      continue;
    Planned *planned = g_new0(Planned, 1);
    *planned = (Planned){ps, f};
    gint64 in_us = ps->plan->start_us + (gint64)(f.at_s * 1e6) - g_get_monotonic_time();
    g_timeout_add((guint)(MAX(0, in_us) / 1000), strike, planned);
  }
}

/* ------------------------------------------------------------------ the run */

static gboolean is_over(gpointer data) {
  FkProcesses *ps = data;
  ps->over = TRUE;
  g_main_loop_quit(ps->loop);
  return G_SOURCE_REMOVE;
}

char *fk_processes_run(FkProcesses *ps) {
  gint64 over = ps->plan->start_us + (gint64)(ps->plan->duration_s * 1e6) - g_get_monotonic_time();
  g_timeout_add(ASK_UP_MS, ask_up, ps);
  guint measuring = g_timeout_add(MEASURE_MS, measure, ps);
  g_timeout_add((guint)(MAX(0, over) / 1000), is_over, ps);
  plan_faults(ps);
  g_main_loop_run(ps->loop);
  g_source_remove(measuring);
  return g_steal_pointer(&ps->wrong);
}

static gboolean wait_over(gpointer loop) {
  g_main_loop_quit(loop);
  return G_SOURCE_REMOVE;
}

void fk_processes_stop(FkProcesses *ps) {
  if (ps->over) {
    g_timeout_add((guint)(AFTER_S * 1000), wait_over, ps->loop);
    g_main_loop_run(ps->loop);
  }
  ps->over = TRUE;
  for (guint i = 0; i < ps->all->len; i++) {
    Process *x = ps->all->pdata[i];
    if (!x->pid)
      continue;
    kill(x->pid, SIGKILL);
    waitpid(x->pid, NULL, 0);
    x->pid = 0;
  }
}

void fk_processes_free(FkProcesses *ps) {
  ps->over = FALSE; /* nothing is waited for any more */
  fk_processes_stop(ps);
  fk_http_client_free(ps->http);
  g_ptr_array_unref(ps->all);
  g_main_loop_unref(ps->loop);
  g_free(ps->wrong);
  g_free(ps);
}

double fk_processes_peak_memory_mb(const FkProcesses *ps) { return ps->memory_most_mb; }

guint fk_processes_count(const FkProcesses *ps) { return ps->all->len; }
