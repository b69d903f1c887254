#include "simulation/worker_model.h"

#define CPUS_EPSILON 1e-6

static void task_free(gpointer p) {
  FkWorkerTask *t = p;
  g_free(t->job);
  g_free(t);
}

void fk_worker_model_init(FkWorkerModel *w, const char *id, const char *addr, const char *type,
                          const char *zone, gboolean spot, double cpus) {
  *w = (FkWorkerModel){.id = g_strdup(id),
                       .addr = g_strdup(addr),
                       .type = g_strdup(type),
                       .zone = g_strdup(zone),
                       .spot = spot,
                       .cpus = cpus,
                       .incarnation = 1,
                       .tasks = g_ptr_array_new_with_free_func(task_free)};
}

void fk_worker_model_clear(FkWorkerModel *w) {
  g_free(w->id);
  g_free(w->addr);
  g_free(w->type);
  g_free(w->zone);
  g_clear_pointer(&w->tasks, g_ptr_array_unref);
}

FkWorkerTask *fk_worker_model_task(const FkWorkerModel *w, guint64 serial) {
  for (guint i = 0; i < w->tasks->len; i++) {
    FkWorkerTask *t = w->tasks->pdata[i];
    if (t->serial == serial)
      return t;
  }
  return NULL;
}

FkHeartbeat *fk_worker_model_heartbeat(FkWorkerModel *w) {
  FkHeartbeat *r = fk_heartbeat_new();
  r->machine = g_strdup(w->id);
  r->addr = g_strdup(w->addr);
  r->type = g_strdup(w->type);
  r->zone = g_strdup(w->zone);
  r->spot = w->spot;
  r->incarnation = w->incarnation;
  r->sequence = ++w->sequence;
  r->fencing_token.n = w->fencing_token;
  for (guint i = 0; i < w->tasks->len; i++) {
    const FkWorkerTask *t = w->tasks->pdata[i];
    FkTaskStatus *says = g_new0(FkTaskStatus, 1);
    *says = (FkTaskStatus){g_strdup(t->job), t->task, {t->attempt}, t->state, t->exit_reason};
    g_ptr_array_add(r->tasks, says);
  }
  return r;
}

void fk_worker_model_release_task(FkWorkerModel *w, const FkWorkerHooks *h, FkWorkerTask *t) {
  if (!t->resident)
    return;
  t->resident = FALSE;
  h->on_released(h->owner, w, t);
}

void fk_worker_model_clear_tasks(FkWorkerModel *w, const FkWorkerHooks *h) {
  for (guint i = 0; i < w->tasks->len; i++)
    fk_worker_model_release_task(w, h, w->tasks->pdata[i]);
  g_ptr_array_set_size(w->tasks, 0);
}

gboolean fk_worker_model_check_lease(FkWorkerModel *w, const FkWorkerHooks *h, gint64 now, double lease_s) {
  if (now - w->lease_start <= (gint64)(lease_s * 1e6))
    return FALSE;
  fk_worker_model_clear_tasks(w, h);
  w->incarnation++;
  w->lease_start = now;
  return TRUE;
}

/* ------------------------------------------------------------------ commands */

/* What a command meets on the machine. */
typedef struct {
  FkWorkerTask *same;     /* this task and attempt, in any state */
  gboolean other_attempt; /* another attempt of the task, not exited */
  double used;            /* CPUs of all that hasn't exited; fetching tasks count */
} TaskLookup;

static TaskLookup find_task(const FkWorkerModel *w, const FkWorkerHooks *h, const FkCommand *o) {
  TaskLookup f = {0};
  for (guint i = 0; i < w->tasks->len; i++) {
    FkWorkerTask *t = w->tasks->pdata[i];
    if (t->task == o->task && g_str_equal(t->job, o->job)) {
      if (t->attempt == o->attempt.n)
        f.same = t;
      else if (t->state != FK_TASK_EXITED)
        f.other_attempt = TRUE;
    }
    if (t->state != FK_TASK_EXITED)
      f.used += MAX(0, h->cpus_of(h->owner, t->job));
  }
  return f;
}

static FkExitReason refusal_reason(const FkWorkerModel *w, const TaskLookup *f, double cpus) {
  if (cpus < 0)
    return FK_EXIT_UNKNOWN;
  if (f->other_attempt)
    return FK_EXIT_BUSY;
  return f->used + cpus > w->cpus + CPUS_EPSILON ? FK_EXIT_FULL : FK_EXIT_NONE;
}

static void start_task(FkWorkerModel *w, const FkWorkerHooks *h, const FkCommand *o, const TaskLookup *f) {
  FkWorkerTask *t = g_new0(FkWorkerTask, 1);
  *t = (FkWorkerTask){g_strdup(o->job), o->task,           o->attempt.n, FK_TASK_FETCHING,
                      FK_EXIT_NONE,     ++*h->last_serial, FALSE};
  t->exit_reason = refusal_reason(w, f, h->cpus_of(h->owner, o->job));
  if (t->exit_reason == FK_EXIT_NONE)
    h->on_accepted(h->owner, w, t);
  else
    t->state = FK_TASK_EXITED;
  g_ptr_array_add(w->tasks, t);
}

static void stop_task(FkWorkerModel *w, const FkWorkerHooks *h, FkWorkerTask *t) {
  fk_worker_model_release_task(w, h, t);
  t->state = FK_TASK_EXITED;
  t->exit_reason = FK_EXIT_STOPPED;
}

void fk_worker_model_execute(FkWorkerModel *w, const FkWorkerHooks *h, const GPtrArray *commands) {
  for (guint i = 0; commands && i < commands->len; i++) {
    const FkCommand *o = commands->pdata[i];
    TaskLookup f = find_task(w, h, o);
    gboolean exited = f.same && f.same->state == FK_TASK_EXITED;
    if (o->kind == FK_COMMAND_START && !f.same)
      start_task(w, h, o, &f);
    else if (o->kind == FK_COMMAND_STOP && f.same && !exited)
      stop_task(w, h, f.same);
    else if (o->kind == FK_COMMAND_FORGET && exited)
      g_ptr_array_remove(w->tasks, f.same);
  }
}

gboolean fk_worker_model_heartbeat_answered(FkWorkerModel *w, const FkWorkerHooks *h, guint64 incarnation,
                                            gint64 sent, FkFencingToken token, const GPtrArray *commands) {
  if (!fk_worker_model_command(w, h, incarnation, token, commands))
    return FALSE;
  w->lease_start = sent;
  return TRUE;
}

gboolean fk_worker_model_command(FkWorkerModel *w, const FkWorkerHooks *h, guint64 incarnation,
                                 FkFencingToken token, const GPtrArray *commands) {
  if (token.n < w->fencing_token || incarnation != w->incarnation)
    return FALSE;
  w->fencing_token = token.n;
  fk_worker_model_execute(w, h, commands);
  return TRUE;
}
