#include "daemon/rate_limiter.h"

typedef struct {
  gpointer item;
  guint writes;
} Waiting;

#define LARGE_REQUEST_WRITES 2.0
/* Of the writes, this share is kept for the levels that aren't urgent: right after an outage one controller
 * may be sent the submissions of all, and what it has accepted must start as well. */
#define RESERVED_PART 0.35
#define URGENT_WAIT_MAX_S                                                                                    \
  1.0 /* urgent writes that would wait longer are refused at once: others have more room */

struct FkRateLimiter {
  double rate, write_rate, burst_s;
  double tokens, write_tokens;  /* for all */
  double reserved_write_tokens; /* writes kept for the levels that aren't urgent; what they don't use is for
                                   all */
  gint64 refilled_us;
  guint levels, urgent, max_queue, queued_items, timer;
  guint queued_urgent_writes; /* writes */
  GQueue *queues;
  FkRateLimiterCallback send, shed;
  gpointer data;
};

FkRateLimiter *fk_rate_limiter_new(double rate, double write_rate, double burst_s, guint levels, guint urgent,
                                   guint max_queue, FkRateLimiterCallback send, FkRateLimiterCallback shed,
                                   gpointer data) {
  FkRateLimiter *b = g_new0(FkRateLimiter, 1);
  *b = (FkRateLimiter){.rate = rate,
                       .write_rate = write_rate,
                       .burst_s = burst_s,
                       .tokens = rate * burst_s,
                       .write_tokens = (1 - RESERVED_PART) * write_rate * burst_s,
                       .reserved_write_tokens = RESERVED_PART * write_rate * burst_s,
                       .refilled_us = g_get_monotonic_time(),
                       .levels = levels,
                       .urgent = urgent,
                       .max_queue = max_queue,
                       .queues = g_new0(GQueue, levels),
                       .send = send,
                       .shed = shed,
                       .data = data};
  return b;
}

void fk_rate_limiter_free(FkRateLimiter *b) {
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

static void refill(FkRateLimiter *b) {
  gint64 now = g_get_monotonic_time();
  double s = (double)(now - b->refilled_us) / 1e6;
  b->refilled_us = now;
  b->tokens = MIN(b->rate * b->burst_s, b->tokens + s * b->rate);
  double full = RESERVED_PART * b->write_rate * b->burst_s,
         kept = b->reserved_write_tokens + s * RESERVED_PART * b->write_rate;
  b->reserved_write_tokens = MIN(full, kept);
  b->write_tokens =
      MIN((1 - RESERVED_PART) * b->write_rate * b->burst_s,
          b->write_tokens + s * (1 - RESERVED_PART) * b->write_rate + (kept - b->reserved_write_tokens));
}

/* Writes that a level that isn't urgent may use: what is kept, and what is left of the rest. */
static double spendable_writes(const FkRateLimiter *b) {
  return b->reserved_write_tokens + MAX(0, b->write_tokens);
}

static void spend(FkRateLimiter *b, guint level, guint writes) {
  b->tokens -= 1;
  if (level < b->urgent) {
    b->write_tokens -= writes;
    return;
  }
  double from_kept = MIN((double)writes, MAX(0, b->reserved_write_tokens));
  b->reserved_write_tokens -= from_kept;
  /* while the urgent ones owe something themselves, others run into debt with their own part only */
  *(b->write_tokens < 0 ? &b->reserved_write_tokens : &b->write_tokens) -= writes - from_kept;
}

/* The first levels (holds, users) may draw on what comes in the next second: nobody who waits should wait for
 * work in the background. */
static gboolean can_send(FkRateLimiter *b, guint level, guint writes) {
  if (level < b->urgent)
    return b->tokens >= -b->rate && (!writes || b->write_tokens >= -b->write_rate);
  /* What is large runs the budget into debt rather than wait for a full one: small ones going first would
   * keep it waiting for ever. */
  return b->tokens >= 1 && (!writes || spendable_writes(b) >= MIN((double)writes, LARGE_REQUEST_WRITES));
}

static gboolean send_queued(gpointer data) {
  FkRateLimiter *b = data;
  refill(b);
  for (guint i = 0; i < b->levels; i++)
    while (!g_queue_is_empty(&b->queues[i])) {
      Waiting *w = g_queue_peek_head(&b->queues[i]);
      if (!can_send(b, i, w->writes)) {
        if (i >= b->urgent)
          return G_SOURCE_CONTINUE;
        break; /* what is kept for the others is theirs */
      }
      g_queue_pop_head(&b->queues[i]);
      b->queued_items--;
      b->queued_urgent_writes -= i < b->urgent ? w->writes : 0;
      spend(b, i, w->writes);
      b->send(b->data, w->item);
      g_free(w);
    }
  if (b->queued_items)
    return G_SOURCE_CONTINUE;
  b->timer = 0;
  return G_SOURCE_REMOVE;
}

/* Whether anything of that level, or one before it of its kind, waits. */
static gboolean has_queued_before(const FkRateLimiter *b, guint level) {
  for (guint i = level < b->urgent ? 0 : b->urgent; i <= level; i++)
    if (!g_queue_is_empty(&b->queues[i]))
      return TRUE;
  return FALSE;
}

void fk_rate_limiter_charge(FkRateLimiter *b) {
  refill(b);
  b->tokens -= 1;
}

void fk_rate_limiter_submit(FkRateLimiter *b, guint level, guint writes, gpointer item) {
  refill(b);
  if (!has_queued_before(b, level) && can_send(b, level, writes)) {
    spend(b, level, writes);
    b->send(b->data, item);
    return;
  }
  gboolean too_long = level + 1 == b->urgent && writes &&
                      b->queued_urgent_writes >= MAX(1, URGENT_WAIT_MAX_S * b->write_rate);
  if (b->queued_items >= b->max_queue || too_long) {
    b->shed(b->data, item);
    return;
  }
  Waiting *w = g_new0(Waiting, 1);
  *w = (Waiting){item, writes};
  g_queue_push_tail(&b->queues[level], w);
  b->queued_urgent_writes += level < b->urgent ? writes : 0;
  b->queued_items++;
  if (!b->timer)
    b->timer = g_timeout_add(15, send_queued, b);
}

void fk_rate_limiter_set_rates(FkRateLimiter *b, double rate, double write_rate) {
  refill(b);
  b->rate = rate;
  b->write_rate = write_rate;
}

void fk_rate_limiter_requeue(FkRateLimiter *b, guint level, guint writes, gpointer item) {
  refill(b);
  /* all that we believed to have is gone */
  b->tokens = MIN(b->tokens, 0);
  b->write_tokens = MIN(b->write_tokens, 0);
  b->reserved_write_tokens = MIN(b->reserved_write_tokens, 0);
  Waiting *w = g_new0(Waiting, 1);
  *w = (Waiting){item, writes};
  g_queue_push_head(&b->queues[level], w);
  b->queued_urgent_writes += level < b->urgent ? writes : 0;
  b->queued_items++;
  if (!b->timer)
    b->timer = g_timeout_add(15, send_queued, b);
}

double fk_rate_limiter_available_writes(FkRateLimiter *b, guint level) {
  refill(b);
  return has_queued_before(b, level) || b->tokens < 1 ? 0 : MAX(0, spendable_writes(b));
}
