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
                       .session = 1,
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

FkReport *fk_worker_model_report(FkWorkerModel *w) {
  FkReport *r = fk_report_new();
  r->machine = g_strdup(w->id);
  r->addr = g_strdup(w->addr);
  r->type = g_strdup(w->type);
  r->zone = g_strdup(w->zone);
  r->spot = w->spot;
  r->session = w->session;
  r->seq = ++w->seq;
  r->token.n = w->token;
  for (guint i = 0; i < w->tasks->len; i++) {
    const FkWorkerTask *t = w->tasks->pdata[i];
    FkTaskReport *says = g_new0(FkTaskReport, 1);
    *says = (FkTaskReport){g_strdup(t->job), t->task, {t->attempt}, t->state, t->why};
    g_ptr_array_add(r->tasks, says);
  }
  return r;
}

void fk_worker_model_leave(FkWorkerModel *w, const FkWorkerHooks *h, FkWorkerTask *t) {
  if (!t->on)
    return;
  t->on = FALSE;
  h->left(h->owner, w, t);
}

void fk_worker_model_wipe(FkWorkerModel *w, const FkWorkerHooks *h) {
  for (guint i = 0; i < w->tasks->len; i++)
    fk_worker_model_leave(w, h, w->tasks->pdata[i]);
  g_ptr_array_set_size(w->tasks, 0);
}

gboolean fk_worker_model_expire(FkWorkerModel *w, const FkWorkerHooks *h, gint64 now, double lease_s) {
  if (now - w->lease_base <= (gint64)(lease_s * 1e6))
    return FALSE;
  fk_worker_model_wipe(w, h);
  w->session++;
  w->lease_base = now;
  return TRUE;
}

/* ------------------------------------------------------------------ orders */

/* What an order meets on the machine. */
typedef struct {
  FkWorkerTask *same;     /* this task and attempt, in any state */
  gboolean other_attempt; /* another attempt of the task, not exited */
  double used;            /* CPUs of all that hasn't exited; fetching tasks count */
} Found;

static Found look_up(const FkWorkerModel *w, const FkWorkerHooks *h, const FkOrder *o) {
  Found f = {0};
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

static FkWhy refusal(const FkWorkerModel *w, const Found *f, double cpus) {
  if (cpus < 0)
    return FK_WHY_UNKNOWN;
  if (f->other_attempt)
    return FK_WHY_BUSY;
  return f->used + cpus > w->cpus + CPUS_EPSILON ? FK_WHY_FULL : FK_WHY_NONE;
}

static void launch(FkWorkerModel *w, const FkWorkerHooks *h, const FkOrder *o, const Found *f) {
  FkWorkerTask *t = g_new0(FkWorkerTask, 1);
  *t = (FkWorkerTask){g_strdup(o->job), o->task,       o->attempt.n, FK_TASK_FETCHING,
                      FK_WHY_NONE,      ++*h->serials, FALSE};
  t->why = refusal(w, f, h->cpus_of(h->owner, o->job));
  if (t->why == FK_WHY_NONE)
    h->accepted(h->owner, w, t);
  else
    t->state = FK_TASK_EXITED;
  g_ptr_array_add(w->tasks, t);
}

static void stop(FkWorkerModel *w, const FkWorkerHooks *h, FkWorkerTask *t) {
  fk_worker_model_leave(w, h, t);
  t->state = FK_TASK_EXITED;
  t->why = FK_WHY_STOPPED;
}

void fk_worker_model_execute(FkWorkerModel *w, const FkWorkerHooks *h, const GPtrArray *orders) {
  for (guint i = 0; orders && i < orders->len; i++) {
    const FkOrder *o = orders->pdata[i];
    Found f = look_up(w, h, o);
    gboolean exited = f.same && f.same->state == FK_TASK_EXITED;
    if (o->op == FK_ORDER_START && !f.same)
      launch(w, h, o, &f);
    else if (o->op == FK_ORDER_STOP && f.same && !exited)
      stop(w, h, f.same);
    else if (o->op == FK_ORDER_FORGET && exited)
      g_ptr_array_remove(w->tasks, f.same);
  }
}

gboolean fk_worker_model_answered(FkWorkerModel *w, const FkWorkerHooks *h, guint64 session, gint64 sent,
                                  FkToken token, const GPtrArray *orders) {
  if (!fk_worker_model_commanded(w, h, session, token, orders))
    return FALSE;
  w->lease_base = sent;
  return TRUE;
}

gboolean fk_worker_model_commanded(FkWorkerModel *w, const FkWorkerHooks *h, guint64 session, FkToken token,
                                   const GPtrArray *orders) {
  if (token.n < w->token || session != w->session)
    return FALSE;
  w->token = token.n;
  fk_worker_model_execute(w, h, orders);
  return TRUE;
}
