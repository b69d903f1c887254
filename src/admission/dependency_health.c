#include "admission/dependency_health.h"

/* One call that fails is said nothing of, unless the system was never reached: calls are lost now and then.
 */
#define FAILURES_BEFORE_WARNING 3

typedef struct {
  char *name, *impact, *reason;
  gint64 since_us, answered_us, reported_us;
  guint failures;
  gboolean reported, recovered;
} Dependency;

struct FkDependencyHealth {
  gint64 window_us;
  GPtrArray *systems;
};

static void dependency_free(gpointer p) {
  Dependency *s = p;
  g_free(s->name);
  g_free(s->impact);
  g_free(s->reason);
  g_free(s);
}

FkDependencyHealth *fk_dependency_health_new(gint64 window_us) {
  FkDependencyHealth *r = g_new0(FkDependencyHealth, 1);
  r->window_us = window_us;
  r->systems = g_ptr_array_new_with_free_func(dependency_free);
  return r;
}

void fk_dependency_health_free(FkDependencyHealth *r) {
  if (!r)
    return;
  g_ptr_array_unref(r->systems);
  g_free(r);
}

guint fk_dependency_health_add(FkDependencyHealth *r, const char *name, const char *means) {
  Dependency *s = g_new0(Dependency, 1);
  s->name = g_strdup(name);
  s->impact = g_strdup(means);
  g_ptr_array_add(r->systems, s);
  return r->systems->len - 1;
}

void fk_dependency_health_record(FkDependencyHealth *r, guint system, const char *why, gint64 now_us) {
  Dependency *s = r->systems->pdata[system];
  if (!why) {
    s->recovered = s->reported;
    s->reported = FALSE;
    s->failures = 0;
    s->answered_us = now_us;
    return;
  }
  if (s->failures++ == 0)
    s->since_us = now_us;
  s->recovered = FALSE;
  if (g_strcmp0(s->reason, why) != 0) {
    g_free(s->reason);
    s->reason = g_strdup(why);
  }
}

char *fk_dependency_health_next_message(FkDependencyHealth *r, gint64 now_us, gboolean *bad) {
  for (guint i = 0; i < r->systems->len; i++) {
    Dependency *s = r->systems->pdata[i];
    if (s->recovered) {
      s->recovered = FALSE;
      *bad = FALSE;
      return g_strdup_printf("%s can be reached again, after %.1f s", s->name,
                             (double)(s->answered_us - s->since_us) / 1e6);
    }
    if (s->failures < (s->answered_us ? FAILURES_BEFORE_WARNING : 1) ||
        (s->reported && now_us < s->reported_us + r->window_us))
      continue;
    s->reported = TRUE;
    s->reported_us = now_us;
    *bad = TRUE;
    return g_strdup_printf("%s can't be reached (%s) since %.1f s%s; %s", s->name, s->reason,
                           (double)(now_us - s->since_us) / 1e6,
                           s->answered_us ? "" : ", and never was since the start", s->impact);
  }
  return NULL;
}
