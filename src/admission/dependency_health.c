#include "admission/dependency_health.h"

/* One call that fails is said nothing of, unless the system was never reached: calls are lost now and then.
 */
#define FAILURES 3

typedef struct {
  char *name, *means, *why;
  gint64 since_us, answered_us, said_us;
  guint failures;
  gboolean said, back;
} System;

struct FkReach {
  gint64 window_us;
  GPtrArray *systems;
};

static void system_free(gpointer p) {
  System *s = p;
  g_free(s->name);
  g_free(s->means);
  g_free(s->why);
  g_free(s);
}

FkReach *fk_reach_new(gint64 window_us) {
  FkReach *r = g_new0(FkReach, 1);
  r->window_us = window_us;
  r->systems = g_ptr_array_new_with_free_func(system_free);
  return r;
}

void fk_reach_free(FkReach *r) {
  if (!r)
    return;
  g_ptr_array_unref(r->systems);
  g_free(r);
}

guint fk_reach_add(FkReach *r, const char *name, const char *means) {
  System *s = g_new0(System, 1);
  s->name = g_strdup(name);
  s->means = g_strdup(means);
  g_ptr_array_add(r->systems, s);
  return r->systems->len - 1;
}

void fk_reach_note(FkReach *r, guint system, const char *why, gint64 now_us) {
  System *s = r->systems->pdata[system];
  if (!why) {
    s->back = s->said;
    s->said = FALSE;
    s->failures = 0;
    s->answered_us = now_us;
    return;
  }
  if (s->failures++ == 0)
    s->since_us = now_us;
  s->back = FALSE;
  if (g_strcmp0(s->why, why) != 0) {
    g_free(s->why);
    s->why = g_strdup(why);
  }
}

char *fk_reach_say(FkReach *r, gint64 now_us, gboolean *bad) {
  for (guint i = 0; i < r->systems->len; i++) {
    System *s = r->systems->pdata[i];
    if (s->back) {
      s->back = FALSE;
      *bad = FALSE;
      return g_strdup_printf("%s can be reached again, after %.1f s", s->name,
                             (double)(s->answered_us - s->since_us) / 1e6);
    }
    if (s->failures < (s->answered_us ? FAILURES : 1) || (s->said && now_us < s->said_us + r->window_us))
      continue;
    s->said = TRUE;
    s->said_us = now_us;
    *bad = TRUE;
    return g_strdup_printf("%s can't be reached (%s) since %.1f s%s; %s", s->name, s->why,
                           (double)(now_us - s->since_us) / 1e6,
                           s->answered_us ? "" : ", and never was since the start", s->means);
  }
  return NULL;
}
