#include "daemon/rate_limiter.h"

typedef struct {
  gpointer item;
  guint writes;
} Waiting;

#define ENOUGH 2.0
/* Of the writes, this share is kept for the levels that aren't urgent: right after an outage one controller
 * may be sent the submissions of all, and what it has accepted must start as well. */
#define KEPT 0.35
#define URGENT_WAIT_S                                                                                        \
  1.0 /* urgent writes that would wait longer are refused at once: others have more room */

struct FkBudget {
  double rate, write_rate, burst_s;
  double tokens, write_tokens; /* for all */
  double kept; /* writes kept for the levels that aren't urgent; what they don't use is for all */
  gint64 last;
  guint levels, urgent, max_queue, queued, timer;
  guint waiting_urgent; /* writes */
  GQueue *queues;
  FkBudgetSend send, shed;
  gpointer data;
};

FkBudget *fk_budget_new(double rate, double write_rate, double burst_s, guint levels, guint urgent,
                        guint max_queue, FkBudgetSend send, FkBudgetSend shed, gpointer data) {
  FkBudget *b = g_new0(FkBudget, 1);
  *b = (FkBudget){.rate = rate,
                  .write_rate = write_rate,
                  .burst_s = burst_s,
                  .tokens = rate * burst_s,
                  .write_tokens = (1 - KEPT) * write_rate * burst_s,
                  .kept = KEPT * write_rate * burst_s,
                  .last = g_get_monotonic_time(),
                  .levels = levels,
                  .urgent = urgent,
                  .max_queue = max_queue,
                  .queues = g_new0(GQueue, levels),
                  .send = send,
                  .shed = shed,
                  .data = data};
  return b;
}

void fk_budget_free(FkBudget *b) {
  if (!b)
    return;
  g_clear_handle_id(&b->timer, g_source_remove);
  for (guint i = 0; i < b->levels; i++) {
    Waiting *w;
    while ((w = g_queue_pop_head(&b->queues[i]))) {
      b->shed(b->data, w->item);
      g_free(w);
    }
  }
  g_free(b->queues);
  g_free(b);
}

static void refill(FkBudget *b) {
  gint64 now = g_get_monotonic_time();
  double s = (double)(now - b->last) / 1e6;
  b->last = now;
  b->tokens = MIN(b->rate * b->burst_s, b->tokens + s * b->rate);
  double full = KEPT * b->write_rate * b->burst_s, kept = b->kept + s * KEPT * b->write_rate;
  b->kept = MIN(full, kept);
  b->write_tokens = MIN((1 - KEPT) * b->write_rate * b->burst_s,
                        b->write_tokens + s * (1 - KEPT) * b->write_rate + (kept - b->kept));
}

/* Writes that a level that isn't urgent may use: what is kept, and what is left of the rest. */
static double free_writes(const FkBudget *b) { return b->kept + MAX(0, b->write_tokens); }

static void take(FkBudget *b, guint level, guint writes) {
  b->tokens -= 1;
  if (level < b->urgent) {
    b->write_tokens -= writes;
    return;
  }
  double from_kept = MIN((double)writes, MAX(0, b->kept));
  b->kept -= from_kept;
  /* while the urgent ones owe something themselves, others run into debt with their own part only */
  *(b->write_tokens < 0 ? &b->kept : &b->write_tokens) -= writes - from_kept;
}

/* The first levels (holds, users) may draw on what comes in the next second: nobody who waits should wait for
 * work in the background. */
static gboolean may(FkBudget *b, guint level, guint writes) {
  if (level < b->urgent)
    return b->tokens >= -b->rate && (!writes || b->write_tokens >= -b->write_rate);
  /* What is large runs the budget into debt rather than wait for a full one: small ones going first would
   * keep it waiting for ever. */
  return b->tokens >= 1 && (!writes || free_writes(b) >= MIN((double)writes, ENOUGH));
}

static gboolean drain(gpointer data) {
  FkBudget *b = data;
  refill(b);
  for (guint i = 0; i < b->levels; i++)
    while (!g_queue_is_empty(&b->queues[i])) {
      Waiting *w = g_queue_peek_head(&b->queues[i]);
      if (!may(b, i, w->writes)) {
        if (i >= b->urgent)
          return G_SOURCE_CONTINUE;
        break; /* what is kept for the others is theirs */
      }
      g_queue_pop_head(&b->queues[i]);
      b->queued--;
      b->waiting_urgent -= i < b->urgent ? w->writes : 0;
      take(b, i, w->writes);
      b->send(b->data, w->item);
      g_free(w);
    }
  if (b->queued)
    return G_SOURCE_CONTINUE;
  b->timer = 0;
  return G_SOURCE_REMOVE;
}

/* Whether anything of that level, or one before it of its kind, waits. */
static gboolean ahead_of(const FkBudget *b, guint level) {
  for (guint i = level < b->urgent ? 0 : b->urgent; i <= level; i++)
    if (!g_queue_is_empty(&b->queues[i]))
      return TRUE;
  return FALSE;
}

void fk_budget_count(FkBudget *b) {
  refill(b);
  b->tokens -= 1;
}

void fk_budget_add(FkBudget *b, guint level, guint writes, gpointer item) {
  refill(b);
  if (!ahead_of(b, level) && may(b, level, writes)) {
    take(b, level, writes);
    b->send(b->data, item);
    return;
  }
  gboolean too_long =
      level + 1 == b->urgent && writes && b->waiting_urgent >= MAX(1, URGENT_WAIT_S * b->write_rate);
  if (b->queued >= b->max_queue || too_long) {
    b->shed(b->data, item);
    return;
  }
  Waiting *w = g_new0(Waiting, 1);
  *w = (Waiting){item, writes};
  g_queue_push_tail(&b->queues[level], w);
  b->waiting_urgent += level < b->urgent ? writes : 0;
  b->queued++;
  if (!b->timer)
    b->timer = g_timeout_add(15, drain, b);
}

void fk_budget_rates(FkBudget *b, double rate, double write_rate) {
  refill(b);
  b->rate = rate;
  b->write_rate = write_rate;
}

void fk_budget_again(FkBudget *b, guint level, guint writes, gpointer item) {
  refill(b);
  /* all that we believed to have is gone */
  b->tokens = MIN(b->tokens, 0);
  b->write_tokens = MIN(b->write_tokens, 0);
  b->kept = MIN(b->kept, 0);
  Waiting *w = g_new0(Waiting, 1);
  *w = (Waiting){item, writes};
  g_queue_push_head(&b->queues[level], w);
  b->waiting_urgent += level < b->urgent ? writes : 0;
  b->queued++;
  if (!b->timer)
    b->timer = g_timeout_add(15, drain, b);
}

double fk_budget_room(FkBudget *b, guint level) {
  refill(b);
  return ahead_of(b, level) || b->tokens < 1 ? 0 : MAX(0, free_writes(b));
}
