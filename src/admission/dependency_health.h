/* Which outside system can't be reached, since when, and what that means: said once it shows, once a window
 * while it lasts, and when it is over. A table of states; the clock comes in. */
#pragma once
#include <glib.h>

typedef struct FkDependencyHealth FkDependencyHealth;

/* `window_us` between two words about the same system. */
FkDependencyHealth *fk_dependency_health_new(gint64 window_us);
void fk_dependency_health_free(FkDependencyHealth *r);
/* `means`: what the service can't do meanwhile. Both are copied. Returns its number. */
guint fk_dependency_health_add(FkDependencyHealth *r, const char *name, const char *means);
/* It was asked, and answered or (`why`, copied) didn't. */
void fk_dependency_health_record(FkDependencyHealth *r, guint system, const char *why, gint64 now_us);
/* The next thing to be said, to be freed, or NULL. `bad`: a warning, else that it is back. */
char *fk_dependency_health_next_message(FkDependencyHealth *r, gint64 now_us, gboolean *bad);
