#include "daemon/rate_limiter.h"

#define QUEUE_INTERVAL_MS 15 /* interval at which the queues are checked for requests that can be sent */
/* At a level that isn't urgent, a request is sent only if one write token per write is available, but no more
 * than this many tokens are required. A request with more writes overdraws the bucket. If a large request had
 * to wait for the tokens of all its writes, smaller requests would starve it. */
#define LARGE_REQUEST_WRITES 2.0
/* Share of the write rate that is reserved for the levels that aren't urgent. Right after an outage, one
 * controller may receive the submissions of all users. Submissions are urgent writes. Without the reserve,
 * submissions would use all write tokens, and the tasks of the accepted jobs could not be started. */
#define RESERVED_SHARE 0.35
/* Limit of the queued urgent writes: as many as the write rate allows in this many seconds, but at least one.
 * Once this limit is reached, new writes of the last urgent level are shed instead of queued,
 * because another controller may have spare capacity. In the store's limiter, the last urgent level holds the
 * users' writes. */
#define URGENT_WAIT_MAX_S 1.0

typedef struct {
  gpointer item;
  guint writes;
} QueuedRequest;

struct FkRateLimiter {
  FkRateLimiterOptions options;
  double tokens;
  double write_tokens; /* write tokens that all levels may spend */
  /* Write tokens reserved for the levels that aren't urgent. While this bucket is full, new reserved tokens
   * are added to write_tokens instead. */
  double reserved_write_tokens;
  gint64 refilled_us; /* monotonic time of the latest refill */
  GQueue *queues;     /* QueuedRequest; one queue per level */
  guint queued, queued_urgent_writes;
  guint timer; /* source id of the timer that sends queued requests; 0 if the timer isn't running */
  FkRateLimiterCallback send, shed;
  gpointer data;
};

FkRateLimiter *fk_rate_limiter_new(const FkRateLimiterOptions *options, FkRateLimiterCallback send,
                                   FkRateLimiterCallback shed, gpointer data) {
  FkRateLimiter *limiter = g_new0(FkRateLimiter, 1);
  *limiter =
      (FkRateLimiter){.options = *options,
                      .tokens = options->requests_per_s * options->burst_s,
                      .write_tokens = (1 - RESERVED_SHARE) * options->writes_per_s * options->burst_s,
                      .reserved_write_tokens = RESERVED_SHARE * options->writes_per_s * options->burst_s,
                      .refilled_us = g_get_monotonic_time(),
                      .queues = g_new0(GQueue, options->levels),
                      .send = send,
                      .shed = shed,
                      .data = data};
  return limiter;
}

void fk_rate_limiter_free(FkRateLimiter *limiter) {
  if (!limiter)
    return;
  g_clear_handle_id(&limiter->timer, g_source_remove);
  for (guint i = 0; i < limiter->options.levels; i++) {
    QueuedRequest *request;
    while ((request = g_queue_pop_head(&limiter->queues[i]))) {
      limiter->shed(limiter->data, request->item);
      g_free(request);
    }
  }
  g_free(limiter->queues);
  g_free(limiter);
}

/* ------------------------------------------------------------------ tokens */

static gboolean is_urgent(const FkRateLimiter *limiter, guint level) {
  return level < limiter->options.urgent_levels;
}

static void refill(FkRateLimiter *limiter) {
  gint64 now_us = g_get_monotonic_time();
  double elapsed_s = (double)(now_us - limiter->refilled_us) / 1e6;
  limiter->refilled_us = now_us;
  limiter->tokens = MIN(limiter->options.requests_per_s * limiter->options.burst_s,
                        limiter->tokens + elapsed_s * limiter->options.requests_per_s);
  double reserved_max = RESERVED_SHARE * limiter->options.writes_per_s * limiter->options.burst_s;
  double reserved =
      limiter->reserved_write_tokens + elapsed_s * RESERVED_SHARE * limiter->options.writes_per_s;
  limiter->reserved_write_tokens = MIN(reserved_max, reserved);
  double overflow = reserved - limiter->reserved_write_tokens;
  limiter->write_tokens = MIN(
      (1 - RESERVED_SHARE) * limiter->options.writes_per_s * limiter->options.burst_s,
      limiter->write_tokens + elapsed_s * (1 - RESERVED_SHARE) * limiter->options.writes_per_s + overflow);
}

/* Returns the write tokens that a level that isn't urgent may spend. */
static double spendable_writes(const FkRateLimiter *limiter) {
  return limiter->reserved_write_tokens + MAX(0, limiter->write_tokens);
}

static void spend(FkRateLimiter *limiter, guint level, guint writes) {
  limiter->tokens -= 1;
  if (is_urgent(limiter, level)) {
    limiter->write_tokens -= writes;
    return;
  }
  double from_reserved = MIN((double)writes, MAX(0, limiter->reserved_write_tokens));
  limiter->reserved_write_tokens -= from_reserved;
  /* While write_tokens is overdrawn, the levels that aren't urgent overdraw only reserved_write_tokens. */
  double *rest_from = limiter->write_tokens < 0 ? &limiter->reserved_write_tokens : &limiter->write_tokens;
  *rest_from -= writes - from_reserved;
}

/* Returns whether the tokens allow sending a request now. An urgent request may be sent while the buckets are
 * overdrawn by at most the tokens of one second, so that urgent requests don't wait for background work. */
static gboolean can_send(const FkRateLimiter *limiter, guint level, guint writes) {
  if (is_urgent(limiter, level))
    return limiter->tokens >= -limiter->options.requests_per_s &&
           (!writes || limiter->write_tokens >= -limiter->options.writes_per_s);
  double needed = MIN((double)writes, LARGE_REQUEST_WRITES);
  return limiter->tokens >= 1 && (!writes || spendable_writes(limiter) >= needed);
}

/* ------------------------------------------------------------------ the queue */

/* Returns whether a queued request must be sent before a new request of `level`. Requests of the urgent
 * levels and requests of the other levels don't wait for each other. */
static gboolean has_queued_before(const FkRateLimiter *limiter, guint level) {
  for (guint i = is_urgent(limiter, level) ? 0 : limiter->options.urgent_levels; i <= level; i++)
    if (!g_queue_is_empty(&limiter->queues[i]))
      return TRUE;
  return FALSE;
}

static void send_head(FkRateLimiter *limiter, guint level) {
  QueuedRequest *request = g_queue_pop_head(&limiter->queues[level]);
  limiter->queued--;
  if (is_urgent(limiter, level))
    limiter->queued_urgent_writes -= request->writes;
  spend(limiter, level, request->writes);
  limiter->send(limiter->data, request->item);
  g_free(request);
}

/* Sends queued requests of `level` while there are enough tokens. Returns FALSE if requests of `level` remain
 * queued. */
static gboolean send_level(FkRateLimiter *limiter, guint level) {
  GQueue *queue = &limiter->queues[level];
  while (!g_queue_is_empty(queue)) {
    const QueuedRequest *request = queue->head->data;
    if (!can_send(limiter, level, request->writes))
      return FALSE;
    send_head(limiter, level);
  }
  return TRUE;
}

static gboolean send_queued(gpointer data) {
  FkRateLimiter *limiter = data;
  refill(limiter);
  for (guint i = 0; i < limiter->options.levels; i++)
    /* Queued urgent requests don't block the other levels, which have reserved tokens. */
    if (!send_level(limiter, i) && !is_urgent(limiter, i))
      return G_SOURCE_CONTINUE;
  if (limiter->queued)
    return G_SOURCE_CONTINUE;
  limiter->timer = 0;
  return G_SOURCE_REMOVE;
}

static QueuedRequest *new_queued(FkRateLimiter *limiter, guint level, guint writes, gpointer item) {
  QueuedRequest *request = g_new0(QueuedRequest, 1);
  *request = (QueuedRequest){item, writes};
  if (is_urgent(limiter, level))
    limiter->queued_urgent_writes += writes;
  limiter->queued++;
  if (!limiter->timer)
    limiter->timer = g_timeout_add(QUEUE_INTERVAL_MS, send_queued, limiter);
  return request;
}

/* ------------------------------------------------------------------ requests */

static gboolean must_shed(const FkRateLimiter *limiter, guint level, guint writes) {
  gboolean last_urgent = level + 1 == limiter->options.urgent_levels;
  gboolean waits_too_long =
      last_urgent && writes &&
      limiter->queued_urgent_writes >= MAX(1, URGENT_WAIT_MAX_S * limiter->options.writes_per_s);
  return limiter->queued >= limiter->options.queue_max || waits_too_long;
}

void fk_rate_limiter_submit(FkRateLimiter *limiter, guint level, guint writes, gpointer item) {
  refill(limiter);
  if (!has_queued_before(limiter, level) && can_send(limiter, level, writes)) {
    spend(limiter, level, writes);
    limiter->send(limiter->data, item);
  } else if (must_shed(limiter, level, writes)) {
    limiter->shed(limiter->data, item);
  } else {
    g_queue_push_tail(&limiter->queues[level], new_queued(limiter, level, writes, item));
  }
}

void fk_rate_limiter_requeue(FkRateLimiter *limiter, guint level, guint writes, gpointer item) {
  refill(limiter);
  limiter->tokens = MIN(limiter->tokens, 0);
  limiter->write_tokens = MIN(limiter->write_tokens, 0);
  limiter->reserved_write_tokens = MIN(limiter->reserved_write_tokens, 0);
  g_queue_push_head(&limiter->queues[level], new_queued(limiter, level, writes, item));
}

void fk_rate_limiter_charge(FkRateLimiter *limiter) {
  refill(limiter);
  limiter->tokens -= 1;
}

void fk_rate_limiter_set_rates(FkRateLimiter *limiter, double requests_per_s, double writes_per_s) {
  refill(limiter);
  limiter->options.requests_per_s = requests_per_s;
  limiter->options.writes_per_s = writes_per_s;
}

double fk_rate_limiter_available_writes(FkRateLimiter *limiter, guint level) {
  refill(limiter);
  if (has_queued_before(limiter, level) || limiter->tokens < 1)
    return 0;
  return MAX(0, spendable_writes(limiter));
}
