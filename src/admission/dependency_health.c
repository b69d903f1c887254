#include "admission/dependency_health.h"

/* Consecutive failures until an outage is reported. One is not enough, because single calls may be lost. The
 * outage of a dependency that never answered is reported at the first failure. */
#define FAILURES_BEFORE_WARNING 3

typedef struct {
  char *name, *impact;
  char *failure;  /* reason of the latest failed call; NULL if none has failed */
  guint failures; /* calls failed since the last answer */
  /* `failing_since_us`: start of the latest run of failures, kept after the recovery. `answered_us` and
   * `warned_us`: times of the last answer and of the last warning. Each is 0 if there was none. */
  gint64 failing_since_us, answered_us, warned_us;
  gboolean is_warned;     /* the current outage was reported */
  gboolean has_recovered; /* a reported outage is over; its recovery message is due */
} Dependency;

struct FkDependencyHealth {
  gint64 window_us;
  GPtrArray *dependencies; /* Dependency */
};

static void dependency_free(gpointer data) {
  Dependency *dependency = data;
  g_free(dependency->name);
  g_free(dependency->impact);
  g_free(dependency->failure);
  g_free(dependency);
}

FkDependencyHealth *fk_dependency_health_new(gint64 window_us) {
  FkDependencyHealth *health = g_new0(FkDependencyHealth, 1);
  health->window_us = window_us;
  health->dependencies = g_ptr_array_new_with_free_func(dependency_free);
  return health;
}

void fk_dependency_health_free(FkDependencyHealth *health) {
  if (!health)
    return;
  g_ptr_array_unref(health->dependencies);
  g_free(health);
}

guint fk_dependency_health_add(FkDependencyHealth *health, const char *name, const char *impact) {
  Dependency *dependency = g_new0(Dependency, 1);
  dependency->name = g_strdup(name);
  dependency->impact = g_strdup(impact);
  g_ptr_array_add(health->dependencies, dependency);
  return health->dependencies->len - 1;
}

static void record_answer(Dependency *dependency, gint64 now_us) {
  dependency->has_recovered = dependency->is_warned;
  dependency->is_warned = FALSE;
  dependency->failures = 0;
  dependency->answered_us = now_us;
}

static void record_failure(Dependency *dependency, const char *failure, gint64 now_us) {
  if (dependency->failures++ == 0)
    dependency->failing_since_us = now_us;
  dependency->has_recovered = FALSE;
  if (g_strcmp0(dependency->failure, failure) != 0) {
    g_free(dependency->failure);
    dependency->failure = g_strdup(failure);
  }
}

void fk_dependency_health_record(FkDependencyHealth *health, guint index, const char *failure,
                                 gint64 now_us) {
  Dependency *dependency = health->dependencies->pdata[index];
  if (failure)
    record_failure(dependency, failure, now_us);
  else
    record_answer(dependency, now_us);
}

static gboolean is_warning_due(const FkDependencyHealth *health, const Dependency *dependency,
                               gint64 now_us) {
  guint failures_needed = dependency->answered_us ? FAILURES_BEFORE_WARNING : 1;
  return dependency->failures >= failures_needed &&
         (!dependency->is_warned || now_us >= dependency->warned_us + health->window_us);
}

static char *format_recovery(const Dependency *dependency) {
  return g_strdup_printf("dependency recovered name=\"%s\" outage_s=%.1f", dependency->name,
                         (double)(dependency->answered_us - dependency->failing_since_us) / 1e6);
}

static char *format_outage(const Dependency *dependency, gint64 now_us) {
  return g_strdup_printf(
      "dependency unreachable name=\"%s\" failure=\"%s\" unreachable_s=%.1f%s impact=\"%s\"",
      dependency->name, dependency->failure, (double)(now_us - dependency->failing_since_us) / 1e6,
      dependency->answered_us ? "" : " never_reached=true", dependency->impact);
}

char *fk_dependency_health_next_message(FkDependencyHealth *health, gint64 now_us, gboolean *is_warning) {
  for (guint i = 0; i < health->dependencies->len; i++) {
    Dependency *dependency = health->dependencies->pdata[i];
    if (dependency->has_recovered) {
      dependency->has_recovered = FALSE;
      *is_warning = FALSE;
      return format_recovery(dependency);
    }
    if (is_warning_due(health, dependency, now_us)) {
      dependency->is_warned = TRUE;
      dependency->warned_us = now_us;
      *is_warning = TRUE;
      return format_outage(dependency, now_us);
    }
  }
  return NULL;
}
