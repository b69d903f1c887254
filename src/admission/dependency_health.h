/* Which of the services that we depend on can't be reached, as messages for the log: when it shows, once a
 * window while it lasts, and when it is over. No clock: times are microseconds of the monotonic one. */
#pragma once
#include <glib.h>

typedef struct FkDependencyHealth FkDependencyHealth;

/* `window_us`: between two messages about the same outage. */
FkDependencyHealth *fk_dependency_health_new(gint64 window_us);
/* NULL is fine. */
void fk_dependency_health_free(FkDependencyHealth *health);
/* Returns the dependency's index. `impact`: what doesn't work without it. Both strings are copied. */
guint fk_dependency_health_add(FkDependencyHealth *health, const char *name, const char *impact);
/* A call has been answered (`failure` NULL) or has failed for that reason (copied). */
void fk_dependency_health_record(FkDependencyHealth *health, guint dependency, const char *failure,
                                 gint64 now_us);
/* The next message, to be freed, or NULL. `is_warning`: of an outage, else of a recovery. */
char *fk_dependency_health_next_message(FkDependencyHealth *health, gint64 now_us, gboolean *is_warning);
