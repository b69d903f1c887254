#include "io/budget.h"

typedef struct {
  gpointer item;
  guint writes;
} Waiting;

#define ENOUGH 2.0

struct FkBudget {
  double rate, write_rate, burst_s;
  double tokens, write_tokens;
  gint64 last;
  guint levels, urgent, max_queue, queued, timer;
  GQueue *queues;
  FkBudgetSend send, shed;
  gpointer data;
};

FkBudget *fk_budget_new(double rate, double write_rate, double burst_s, guint levels, guint urgent,
                        guint max_queue, FkBudgetSend send, FkBudgetSend shed, gpointer data) {
  FkBudget *b = g_new0(FkBudget, 1);
  *b = (FkBudget){rate,
                  write_rate,
                  burst_s,
                  rate * burst_s,
                  write_rate * burst_s,
                  g_get_monotonic_time(),
                  levels,
                  urgent,
                  max_queue,
                  0,
                  0,
                  g_new0(GQueue, levels),
                  send,
                  shed,
                  data};
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
  b->write_tokens = MIN(b->write_rate * b->burst_s, b->write_tokens + s * b->write_rate);
}

/* The first levels (holds, users) may draw on what comes in the next second: nobody who waits should wait for
 * work in the background. */
static gboolean may(FkBudget *b, guint level, guint writes) {
  if (level < b->urgent)
    return b->tokens >= -b->rate && (!writes || b->write_tokens >= -b->write_rate);
  /* What is large runs the budget into debt rather than wait for a full one: small ones going first would
   * keep it waiting for ever. */
  return b->tokens >= 1 && (!writes || b->write_tokens >= MIN((double)writes, ENOUGH));
}

static gboolean drain(gpointer data) {
  FkBudget *b = data;
  refill(b);
  for (guint i = 0; i < b->levels; i++)
    while (!g_queue_is_empty(&b->queues[i])) {
      Waiting *w = g_queue_peek_head(&b->queues[i]);
      if (!may(b, i, w->writes))
        return G_SOURCE_CONTINUE;
      g_queue_pop_head(&b->queues[i]);
      b->queued--;
      b->tokens -= 1;
      b->write_tokens -= w->writes;
      b->send(b->data, w->item);
      g_free(w);
    }
  b->timer = 0;
  return G_SOURCE_REMOVE;
}

void fk_budget_count(FkBudget *b) {
  refill(b);
  b->tokens -= 1;
}

void fk_budget_add(FkBudget *b, guint level, guint writes, gpointer item) {
  refill(b);
  gboolean ahead = FALSE;
  for (guint i = 0; i <= level; i++)
    ahead |= !g_queue_is_empty(&b->queues[i]);
  if (!ahead && may(b, level, writes)) {
    b->tokens -= 1;
    b->write_tokens -= writes;
    b->send(b->data, item);
    return;
  }
  if (b->queued >= b->max_queue) {
    b->shed(b->data, item);
    return;
  }
  Waiting *w = g_new0(Waiting, 1);
  *w = (Waiting){item, writes};
  g_queue_push_tail(&b->queues[level], w);
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
  Waiting *w = g_new0(Waiting, 1);
  *w = (Waiting){item, writes};
  g_queue_push_head(&b->queues[level], w);
  b->queued++;
  if (!b->timer)
    b->timer = g_timeout_add(15, drain, b);
}

double fk_budget_room(FkBudget *b, guint level) {
  refill(b);
  for (guint i = 0; i <= level; i++)
    if (!g_queue_is_empty(&b->queues[i]))
      return 0;
  return b->tokens < 1 ? 0 : b->write_tokens;
}
