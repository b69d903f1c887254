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
#include "simulation/scale/scale_options.h"

#define MEMORY_MB_MAX 12000.0
#define START_TIMEOUT_S 30.0
#define PROBE_INTERVAL_MS 500
#define MEMORY_CHECK_MS 1000
#define IDLE_RETENTION_S 600 /* idle machines are kept: the run measures the load, not the autoscaler */
#define HTTP_CALLS_MAX 100
#define ANSWER_BYTES_MAX 65536
#define PROBE_TIMEOUT_S 1
#define EXIT_GRACE_S 3.0 /* the stand-ins exit by themselves when the run is over */

typedef struct {
  GPid pid; /* 0: not running */
  char *name;
  gboolean controller;
  guint region, number; /* of the controller, or of the worker process of its region */
  gboolean up, expected_to_exit;
  FkMetricsLog *metrics; /* of controllers; the stand-ins write their own */
} Process;

struct FkProcesses {
  const FkScalePlan *plan;
  GPtrArray *all; /* Process */
  FkHttpClient *http;
  GMainLoop *loop;
  char *failure;
  double peak_memory_mb;
  gboolean run_over;
};

static void process_free(gpointer data) {
  Process *process = data;
  fk_metrics_log_free(process->metrics);
  g_free(process->name);
  g_free(process);
}

static char *path_in(const FkScalePlan *plan, const char *name, const char *extension) {
  g_autofree char *base = g_strconcat(name, extension, NULL);
  return g_build_filename(plan->output_dir, base, NULL);
}

/* ------------------------------------------------------------------ starting */

static void redirect_stderr(gpointer path) {
  int fd = open(path, O_CREAT | O_WRONLY | O_APPEND, 0644);
  if (fd >= 0)
    dup2(fd, STDERR_FILENO);
}

static gboolean spawn(const FkScalePlan *plan, Process *process, char **argv, char **environment,
                      GError **error) {
  g_autofree char *log = path_in(plan, process->name, ".log");
  return g_spawn_async(NULL, argv, environment, G_SPAWN_DO_NOT_REAP_CHILD, redirect_stderr, log,
                       &process->pid, error);
}

static gboolean write_json(const char *path, cJSON *json /* taken */, GError **error) {
  g_autoptr(cJSON) owned = json;
  g_autofree char *text = fk_json_print(owned);
  return g_file_set_contents(path, text, -1, error);
}

static gboolean spawn_controller(const FkScalePlan *plan, Process *process, GError **error) {
  g_autofree char *settings = path_in(plan, process->name, ".json"),
                  *operator_settings = path_in(plan, "operator", ".json");
  cJSON *operator_json = cJSON_CreateObject();
  cJSON_AddNumberToObject(operator_json, "idle_s", IDLE_RETENTION_S);
  if (!write_json(operator_settings, operator_json, error) ||
      !write_json(settings, fk_scale_controller_settings(plan, process->region, process->number), error))
    return FALSE;
  g_auto(GStrv) environment = g_environ_setenv(g_get_environ(), "LOG_LEVEL", "info", TRUE);
  environment = g_environ_setenv(environment, "FLAXKNOT_OPERATOR", operator_settings, TRUE);
  char *argv[] = {plan->program, "serve", "--config", settings, NULL};
  return spawn(plan, process, argv, environment, error);
}

static gboolean spawn_stand_in(const FkScalePlan *plan, Process *process, FkScaleRole role, GError **error) {
  g_autofree char *plan_file = path_in(plan, "plan", ".json"),
                  *region = g_strdup_printf("%u", process->region),
                  *number = g_strdup_printf("%u", process->number),
                  *self = g_file_read_link("/proc/self/exe", error);
  char *argv[] = {self,     "scale",   "--play",   (char *)fk_scale_role_name(role),
                  "--plan", plan_file, "--region", region,
                  "--part", number,    NULL};
  return self && spawn(plan, process, argv, NULL, error);
}

/* Adds a process that isn't running yet. Deletes the log of an earlier run in the same folder, so that it
 * isn't counted. */
static Process *add_process(FkProcesses *processes, char *name /* taken */, guint region) {
  Process *process = g_new0(Process, 1);
  g_autofree char *log = path_in(processes->plan, name, ".log");
  g_unlink(log);
  process->name = name;
  process->region = region;
  g_ptr_array_add(processes->all, process);
  return process;
}

static gboolean start_worker_processes(FkProcesses *processes, guint region, GError **error) {
  for (guint process_number = 0; process_number < processes->plan->worker_processes; process_number++) {
    Process *process = add_process(processes, fk_scale_worker_process_name(region, process_number), region);
    process->number = process_number;
    if (!spawn_stand_in(processes->plan, process, FK_SCALE_ROLE_WORKERS, error))
      return FALSE;
  }
  return TRUE;
}

static gboolean start_controller(FkProcesses *processes, guint region, guint number, GError **error) {
  const FkScalePlan *plan = processes->plan;
  Process *process = add_process(processes, g_strdup_printf("control-%u-%u", region, number), region);
  process->controller = TRUE;
  process->number = number;
  if (!spawn_controller(plan, process, error))
    return FALSE;
  process->metrics =
      fk_metrics_log_new(plan->output_dir, process->name, plan->start_us, (guint)process->pid, error);
  if (!process->metrics)
    return FALSE;
  fk_metrics_log_start(process->metrics, NULL, NULL);
  return TRUE;
}

static gboolean start_region(FkProcesses *processes, guint region, GError **error) {
  static const FkScaleRole roles[] = {FK_SCALE_ROLE_STORE, FK_SCALE_ROLE_USERS};
  if (!start_worker_processes(processes, region, error))
    return FALSE;
  for (guint i = 0; i < G_N_ELEMENTS(roles); i++) {
    Process *process =
        add_process(processes, g_strdup_printf("%s-%u", fk_scale_role_name(roles[i]), region), region);
    if (!spawn_stand_in(processes->plan, process, roles[i], error))
      return FALSE;
  }
  for (guint i = 0; i < fk_scale_region_controllers(processes->plan, region); i++)
    if (!start_controller(processes, region, i, error))
      return FALSE;
  return TRUE;
}

static void on_child_exit(GPid pid, int status, gpointer data);

FkProcesses *fk_processes_start(const FkScalePlan *plan, GError **error) {
  FkProcesses *processes = g_new0(FkProcesses, 1);
  processes->plan = plan;
  processes->all = g_ptr_array_new_with_free_func(process_free);
  processes->http = fk_http_client_new_for_many_hosts(HTTP_CALLS_MAX, ANSWER_BYTES_MAX);
  processes->loop = g_main_loop_new(NULL, FALSE);
  for (guint r = 0; r < plan->regions; r++)
    if (!start_region(processes, r, error)) {
      fk_processes_free(processes);
      return NULL;
    }
  for (guint i = 0; i < processes->all->len; i++)
    g_child_watch_add(((Process *)processes->all->pdata[i])->pid, on_child_exit, processes);
  return processes;
}

/* ------------------------------------------------------------------ watching */

static void abort_run(FkProcesses *processes, char *reason /* taken */) {
  if (processes->failure)
    g_free(reason);
  else
    processes->failure = reason;
  g_main_loop_quit(processes->loop);
}

static void on_child_exit(GPid pid, int status, gpointer data) {
  FkProcesses *processes = data;
  for (guint i = 0; i < processes->all->len; i++) {
    Process *process = processes->all->pdata[i];
    if (process->pid != pid)
      continue;
    process->pid = 0;
    if (!processes->run_over && !process->expected_to_exit)
      abort_run(processes,
                g_strdup_printf("%s ended by itself (status %d); see its log", process->name, status));
  }
}

static void on_probe_response(gpointer data, guint status, const char *body, gsize len) {
  ((Process *)data)->up |= status == 200;
}

static gboolean probe_controllers(gpointer data) {
  FkProcesses *processes = data;
  gboolean all_up = TRUE;
  double since_s = (double)(g_get_monotonic_time() - processes->plan->start_us) / 1e6;
  for (guint i = 0; i < processes->all->len; i++) {
    Process *process = processes->all->pdata[i];
    if (!process->controller || process->up)
      continue;
    all_up = FALSE;
    if (since_s > START_TIMEOUT_S) {
      abort_run(processes, g_strdup_printf("%s didn't come up within %g s; see its log", process->name,
                                           START_TIMEOUT_S));
      return G_SOURCE_REMOVE;
    }
    g_autofree char *addr = fk_scale_user_addr(processes->plan, process->region, process->number);
    fk_http_client_call(processes->http, "GET", addr, "/up", NULL, PROBE_TIMEOUT_S, on_probe_response,
                        process);
  }
  return all_up ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static gboolean check_memory(gpointer data) {
  FkProcesses *processes = data;
  double mb = 0;
  for (guint i = 0; i < processes->all->len; i++)
    mb += fk_process_memory_mb((guint)((Process *)processes->all->pdata[i])->pid);
  processes->peak_memory_mb = MAX(processes->peak_memory_mb, mb);
  if (mb > MEMORY_MB_MAX)
    abort_run(processes, g_strdup_printf("too little memory: all processes together hold %.0f MB of %.0f", mb,
                                         MEMORY_MB_MAX));
  return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ faults */

/* The controller that faults hit: the first of region 0, which is up first and so most often the leader. */
static Process *fault_target(FkProcesses *processes) {
  for (guint i = 0; i < processes->all->len; i++) {
    Process *process = processes->all->pdata[i];
    if (process->controller)
      return process;
  }
  return NULL;
}

static gboolean restart_target(gpointer data) {
  FkProcesses *processes = data;
  Process *process = fault_target(processes);
  g_autoptr(GError) error = NULL;
  if (processes->run_over || process->pid)
    return G_SOURCE_REMOVE;
  if (!spawn_controller(processes->plan, process, &error)) {
    abort_run(processes, g_strdup_printf("%s couldn't be started again: %s", process->name, error->message));
    return G_SOURCE_REMOVE;
  }
  process->expected_to_exit = FALSE;
  fk_metrics_log_set_pid(process->metrics, (guint)process->pid);
  g_child_watch_add(process->pid, on_child_exit, processes);
  return G_SOURCE_REMOVE;
}

static gboolean continue_target(gpointer data) {
  Process *process = fault_target(data);
  if (process->pid)
    kill(process->pid, SIGCONT);
  return G_SOURCE_REMOVE;
}

typedef struct {
  FkProcesses *processes;
  FkScaleFault fault;
} PlannedFault;

static gboolean inject_fault(gpointer data) {
  g_autofree PlannedFault *planned = data;
  FkProcesses *processes = planned->processes;
  Process *process = fault_target(processes);
  guint recovery_ms = (guint)(planned->fault.duration_s * 1000);
  if (processes->run_over || !process->pid)
    return G_SOURCE_REMOVE;
  if (planned->fault.kind == FK_SCALE_FAULT_KILL) {
    process->expected_to_exit = TRUE;
    kill(process->pid, SIGKILL);
    g_timeout_add(recovery_ms, restart_target, processes);
  } else {
    kill(process->pid, SIGSTOP);
    g_timeout_add(recovery_ms, continue_target, processes);
  }
  return G_SOURCE_REMOVE;
}

static void schedule_faults(FkProcesses *processes) {
  for (guint i = 0; i < processes->plan->faults->len; i++) {
    FkScaleFault fault = g_array_index(processes->plan->faults, FkScaleFault, i);
    if (fault.kind != FK_SCALE_FAULT_KILL && fault.kind != FK_SCALE_FAULT_STOP)
      continue;
    PlannedFault *planned = g_new0(PlannedFault, 1);
    *planned = (PlannedFault){processes, fault};
    gint64 in_us = processes->plan->start_us + (gint64)(fault.at_s * 1e6) - g_get_monotonic_time();
    g_timeout_add((guint)(MAX(0, in_us) / 1000), inject_fault, planned);
  }
}

/* ------------------------------------------------------------------ the run */

static gboolean on_run_over(gpointer data) {
  FkProcesses *processes = data;
  processes->run_over = TRUE;
  g_main_loop_quit(processes->loop);
  return G_SOURCE_REMOVE;
}

char *fk_processes_run(FkProcesses *processes) {
  gint64 remaining_us =
      processes->plan->start_us + (gint64)(processes->plan->duration_s * 1e6) - g_get_monotonic_time();
  g_timeout_add(PROBE_INTERVAL_MS, probe_controllers, processes);
  guint memory_timer = g_timeout_add(MEMORY_CHECK_MS, check_memory, processes);
  g_timeout_add((guint)(MAX(0, remaining_us) / 1000), on_run_over, processes);
  schedule_faults(processes);
  g_main_loop_run(processes->loop);
  g_source_remove(memory_timer);
  return g_steal_pointer(&processes->failure);
}

static gboolean on_grace_over(gpointer loop) {
  g_main_loop_quit(loop);
  return G_SOURCE_REMOVE;
}

void fk_processes_stop(FkProcesses *processes) {
  if (processes->run_over) {
    g_timeout_add((guint)(EXIT_GRACE_S * 1000), on_grace_over, processes->loop);
    g_main_loop_run(processes->loop);
  }
  processes->run_over = TRUE;
  for (guint i = 0; i < processes->all->len; i++) {
    Process *process = processes->all->pdata[i];
    if (!process->pid)
      continue;
    kill(process->pid, SIGKILL);
    waitpid(process->pid, NULL, 0);
    process->pid = 0;
  }
}

void fk_processes_free(FkProcesses *processes) {
  processes->run_over = FALSE; /* no grace period */
  fk_processes_stop(processes);
  fk_http_client_free(processes->http);
  g_ptr_array_unref(processes->all);
  g_main_loop_unref(processes->loop);
  g_free(processes->failure);
  g_free(processes);
}

double fk_processes_peak_memory_mb(const FkProcesses *processes) { return processes->peak_memory_mb; }

guint fk_processes_count(const FkProcesses *processes) { return processes->all->len; }
