/* Tracks which services that the controller depends on cannot be reached. Produces log messages: a warning
 * when an outage is detected, a warning once per window while it lasts, and a message when it is over. Uses
 * no clock: the caller passes times in, as microseconds of the monotonic clock. */
#pragma once
#include <glib.h>

typedef struct FkDependencyHealth FkDependencyHealth;

/* `window_us` is the time between two warnings about the same outage. */
FkDependencyHealth *fk_dependency_health_new(gint64 window_us);
/* `health` may be NULL. */
void fk_dependency_health_free(FkDependencyHealth *health);
/* Adds a dependency and returns its index. `impact` says what does not work without it. Both strings are
 * copied.
 */
guint fk_dependency_health_add(FkDependencyHealth *health, const char *name, const char *impact);
/* Records the result of a call. `failure` is NULL if the call was answered, else the reason of the failure,
 * which is copied. */
void fk_dependency_health_record(FkDependencyHealth *health, guint dependency, const char *failure,
                                 gint64 now_us);
/* Returns the next message, which the caller frees; NULL if there is none. With a message, sets `is_warning`
 * to TRUE for an outage and to FALSE for a recovery. */
char *fk_dependency_health_next_message(FkDependencyHealth *health, gint64 now_us, gboolean *is_warning);
