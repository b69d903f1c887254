/* A rate limiter with priority levels. One token bucket limits all requests. Write tokens limit the writes
 * that some of the requests contain; a share of these tokens is reserved for the levels that aren't urgent. A
 * request is sent immediately if there are tokens and no request that precedes it is queued; otherwise it is
 * queued by level. It is shed if the queue is full, or if it is at the last urgent level and its writes would
 * wait too long. */
#pragma once
#include <glib.h>

typedef struct FkRateLimiter FkRateLimiter;
/* Callback that sends or sheds a request. Takes ownership of `item`; `data` is the pointer given to
 * fk_rate_limiter_new(). */
typedef void (*FkRateLimiterCallback)(gpointer data, gpointer item);

typedef struct {
  double requests_per_s, writes_per_s;
  double burst_s; /* capacity of each bucket, in seconds of its rate */
  guint levels;   /* number of priority levels; level 0 is the most urgent */
  /* Number of levels, from level 0, that may overdraw the buckets by one second's tokens. */
  guint urgent_levels;
  guint queue_max; /* maximum number of queued requests */
} FkRateLimiterOptions;

/* Creates a rate limiter that passes requests to `send` or `shed` along with `data`. */
FkRateLimiter *fk_rate_limiter_new(const FkRateLimiterOptions *options, FkRateLimiterCallback send,
                                   FkRateLimiterCallback shed, gpointer data);
/* Sheds all queued requests and frees the limiter; `limiter` may be NULL. */
void fk_rate_limiter_free(FkRateLimiter *limiter);
/* Sends, queues or sheds `item`, a request with `writes` writes (0 if it only reads). */
void fk_rate_limiter_submit(FkRateLimiter *limiter, guint level, guint writes, gpointer item);
/* Puts a request that the server rejected with status 429 back at the head of its level. Discards all tokens,
 * because the server has reached its limit. */
void fk_rate_limiter_requeue(FkRateLimiter *limiter, guint level, guint writes, gpointer item);
/* Charges one token for a request that is sent without waiting for the limiter. */
void fk_rate_limiter_charge(FkRateLimiter *limiter);
/* Sets the rates from now on. */
void fk_rate_limiter_set_rates(FkRateLimiter *limiter, double requests_per_s, double writes_per_s);
/* Returns the number of writes that this level could send without waiting. */
double fk_rate_limiter_available_writes(FkRateLimiter *limiter, guint level);
