/* A rate limiter with priority levels. The first levels are urgent (FkRateLimiterOptions.urgent_levels).
 * Each request costs one request token, and each write in the request costs one write token. A share of the
 * write tokens is reserved for the levels that aren't urgent, so that urgent writes can't starve other
 * writes. A request is sent immediately if there are enough tokens and no queued request must be sent first.
 * Otherwise the request is queued at its level, or shed if the queues are full. A request with writes at the
 * last urgent level is also shed if too many urgent writes are queued. */
#pragma once
#include <glib.h>

typedef struct FkRateLimiter FkRateLimiter;
/* Callback that sends or sheds a request. Takes ownership of `item`; `data` is the pointer given to
 * fk_rate_limiter_new(). */
typedef void (*FkRateLimiterCallback)(gpointer data, gpointer item);

typedef struct {
  double requests_per_s, writes_per_s; /* rates at which request and write tokens are added */
  double burst_s;                      /* capacity of each bucket, in seconds of the bucket's rate */
  guint levels;                        /* number of priority levels; level 0 is the most urgent */
  /* Number of urgent levels, counted from level 0. Urgent requests may be sent while the buckets are
   * overdrawn by at most the tokens of one second. */
  guint urgent_levels;
  /* Maximum number of queued requests, over all levels. A new request that can't be sent immediately is shed
   * if this many requests are queued. */
  guint queue_max;
} FkRateLimiterOptions;

/* Creates a rate limiter, which passes each request and `data` to `send` or `shed`. */
FkRateLimiter *fk_rate_limiter_new(const FkRateLimiterOptions *options, FkRateLimiterCallback send,
                                   FkRateLimiterCallback shed, gpointer data);
/* Sheds all queued requests and frees the limiter; `limiter` may be NULL. */
void fk_rate_limiter_free(FkRateLimiter *limiter);
/* Sends, queues or sheds `item`, a request with `writes` writes (0 if the request only reads). */
void fk_rate_limiter_submit(FkRateLimiter *limiter, guint level, guint writes, gpointer item);
/* Puts a request that the server rejected with status 429 at the head of the queue of `level`. Empties all
 * buckets (an overdraft stays), because the server has reached its limit. */
void fk_rate_limiter_requeue(FkRateLimiter *limiter, guint level, guint writes, gpointer item);
/* Charges one request token, and no write tokens, for a request that the caller sends without passing
 * the request to the limiter. */
void fk_rate_limiter_charge(FkRateLimiter *limiter);
/* Changes the rates at which tokens are added. */
void fk_rate_limiter_set_rates(FkRateLimiter *limiter, double requests_per_s, double writes_per_s);
/* Returns the number of writes that could be sent without waiting at `level`, which must not be urgent.
 * Returns 0 if no request token is left, or if a queued request must be sent first. */
double fk_rate_limiter_available_writes(FkRateLimiter *limiter, guint level);
