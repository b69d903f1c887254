#include "core/scheduling/launch_batch.h"
#include "core/scheduling/scheduling_queue.h"
#include "core/scheduling/stop_transaction.h"

#define AFTER_S 15.0  /* the first has waited for so long: tasks that end mostly make room sooner */
#define LEAST 0.02    /* of the fleet's CPUs wait: for less, what was done is worth more */
#define BEYOND 1.25   /* times what is due: so far above it, borrowed room is asked back */
#define EVERY_S 4.0   /* what was asked to leave has left by then, and shows */
#define AT_ONCE 0.05  /* of the fleet's CPUs */
#define CHUNKS_MOST 6 /* a round: each is a write */

/* A chunk's tasks stop by one write, and were mostly placed together: so chunks are asked for, not tasks. */
typedef struct {
  FkJob *job;
  guint32 index;
  double cpus, loss; /* of its tasks that aren't leaving yet; core-seconds */
} Candidate;

static int by_loss(gconstpointer a, gconstpointer b) {
  const Candidate *x = a, *y = b;
  double lx = x->loss / x->cpus, ly = y->loss / y->cpus;
  return lx != ly ? (lx < ly ? -1 : 1) : g_strcmp0(x->job->spec->id, y->job->spec->id);
}

/* Lower ranks give way to higher ones; and to who waits within its own guarantee, all that others run above
 * theirs (PROTOCOL, "Preemption"). Nobody falls below what it is due by that. */
static gboolean gives_way(FkController *c, const FkJob *j, const FkJob *waits) {
  const FkClaimant *team = fk_turn_claimant(c, j->spec->team);
  if (j->spec->shape != FK_SHAPE_ARRAY || j->cancelled || g_str_equal(j->spec->team, waits->spec->team))
    return FALSE;
  if (j->spec->rank > waits->spec->rank)
    return team->used > BEYOND * team->due && !fk_serving_starved(c, j);
  return waits->standing == FK_STANDING_PROTECTED && waits->rank_now == waits->spec->rank &&
         team->used > MAX(team->due, team->guarantee) && fk_share_standing(team) == FK_STANDING_OVER;
}

static void add_candidates(FkController *c, GArray *list, FkJob *j, double *leaving) {
  for (guint32 i = 0; i < j->n_chunks; i++) {
    Candidate k = {j, i, 0, 0};
    for (guint b = 0; j->chunks[i] && b < j->chunks[i]->bookings->len; b++) {
      const FkBooking *x = &g_array_index(j->chunks[i]->bookings, FkBooking, b);
      if (x->stop) {
        *leaving += j->spec->cpus;
        continue;
      }
      k.cpus += j->spec->cpus;
      k.loss += fk_work_lost(c, j->spec, x->since);
    }
    if (k.cpus > 0)
      g_array_append_val(list, k);
  }
}

/* What the job's team and class may lose. */
static double spare(FkController *c, const FkJob *j, double room) {
  const FkClaimant *team = fk_turn_claimant(c, j->spec->team);
  const FkServedRow *row = fk_served_class(c->view->served, j->spec->class_name);
  return MIN(team->used - team->due, (row ? row->cpus : 0) - FK_FLOOR * room);
}

void fk_reclaim(FkController *c, FkStops *s) {
  double waited, room = fk_turn_room(c), ahead = fk_turn_ahead(c, &waited);
  const FkJob *waits = fk_turn_first(c);
  if (!waits || waited < AFTER_S || ahead < LEAST * room || fk_time_between(c->reclaimed, c->now) < EVERY_S)
    return;
  g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(Candidate));
  double leaving = 0;
  GHashTableIter it;
  gpointer p;
  g_hash_table_iter_init(&it, c->view->jobs);
  while (g_hash_table_iter_next(&it, NULL, &p))
    if (((FkJob *)p)->booked && gives_way(c, p, waits))
      add_candidates(c, list, p, &leaving);
  g_array_sort(list, by_loss);
  double want = MIN(ahead, AT_ONCE * room) - leaving, got = 0;
  guint chunks = 0;
  for (guint i = 0; i < list->len && got < want && chunks < CHUNKS_MOST; i++) {
    const Candidate *k = &g_array_index(list, Candidate, i);
    double most = MIN(want - got, spare(c, k->job, room) - got), taken = 0;
    const GArray *books = k->job->chunks[k->index]->bookings;
    for (guint b = books->len; b-- && taken + k->job->spec->cpus <= most + FK_EPS;) {
      const FkBooking *x = &g_array_index(books, FkBooking, b);
      if (x->stop)
        continue;
      if (!fk_stops_add(c, s, k->job, x->task))
        break;
      taken += k->job->spec->cpus;
    }
    chunks += taken > 0;
    got += taken;
  }
  if (got <= 0)
    return;
  c->reclaimed = c->now;
  g_info("reclaimed: tasks with %.0f CPUs are asked to leave for arrays that wait for %.0f, the first for "
         "%.1f s",
         got, ahead, waited);
}
