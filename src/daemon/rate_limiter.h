/* A rate limiter with priority levels. One token bucket limits all requests. Write tokens limit the writes
 * that some of the requests contain; a share of the write tokens is reserved for the levels that aren't
 * urgent. A request is sent immediately if there are tokens and no queued request precedes it; otherwise it
 * is queued by level. A request that would be queued is shed if the queue is full, or if the request is at
 * the last urgent level and its writes would wait too long. */
#pragma once
#include <glib.h>

typedef struct FkRateLimiter FkRateLimiter;
/* Callback that sends or sheds a request. Takes ownership of `item`; `data` is the pointer given to
 * fk_rate_limiter_new(). */
typedef void (*FkRateLimiterCallback)(gpointer data, gpointer item);

typedef struct {
  double requests_per_s, writes_per_s; /* rates at which request and write tokens are added */
  double burst_s;                      /* a bucket holds the tokens of this many seconds at most */
  guint levels;                        /* number of priority levels; level 0 is the most urgent */
  /* Number of urgent levels, counted from level 0, which may overdraw each bucket by the tokens of one
   * second. */
  guint urgent_levels;
  /* Number of queued requests, at all levels together, from which on new requests are shed. */
  guint queue_max;
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
/* Charges one request token, and no write tokens, for a request that the caller sends without passing it to
 * the limiter. */
void fk_rate_limiter_charge(FkRateLimiter *limiter);
/* Changes the rates. Takes effect immediately. */
void fk_rate_limiter_set_rates(FkRateLimiter *limiter, double requests_per_s, double writes_per_s);
/* Returns the number of writes that a level that isn't urgent could send without waiting. */
double fk_rate_limiter_available_writes(FkRateLimiter *limiter, guint level);
