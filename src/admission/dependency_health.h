/* Which outside system can't be reached, since when, and what that means: said once it shows, once a window
 * while it lasts, and when it is over. A table of states; the clock comes in. */
#pragma once
#include <glib.h>

typedef struct FkReach FkReach;

/* `window_us` between two words about the same system. */
FkReach *fk_reach_new(gint64 window_us);
void fk_reach_free(FkReach *r);
/* `means`: what the service can't do meanwhile. Both are copied. Returns its number. */
guint fk_reach_add(FkReach *r, const char *name, const char *means);
/* It was asked, and answered or (`why`, copied) didn't. */
void fk_reach_note(FkReach *r, guint system, const char *why, gint64 now_us);
/* The next thing to be said, to be freed, or NULL. `bad`: a warning, else that it is back. */
char *fk_reach_say(FkReach *r, gint64 now_us, gboolean *bad);
