/* A rate limiter with priorities, for requests of which some count as writes too: a token bucket each. What
 * has tokens is sent at once, the rest waits by level, and what finds the queue full is shed. */
#pragma once
#include <glib.h>

typedef struct FkRateLimiter FkRateLimiter;
/* Takes `item`. */
typedef void (*FkRateLimiterCallback)(gpointer data, gpointer item);

typedef struct {
  double requests_per_s, writes_per_s;
  double burst_s;      /* the buckets hold the tokens of so many seconds */
  guint levels;        /* of priority; 0 is the most urgent one */
  guint urgent_levels; /* the first ones, which may overdraw the buckets by a second's tokens */
  guint queue_max;     /* requests that may wait */
} FkRateLimiterOptions;

/* `send` and `shed` get `data`. */
FkRateLimiter *fk_rate_limiter_new(const FkRateLimiterOptions *options, FkRateLimiterCallback send,
                                   FkRateLimiterCallback shed, gpointer data);
/* Sheds what waits. NULL is fine. */
void fk_rate_limiter_free(FkRateLimiter *limiter);
/* Sends, queues or sheds `item`, a request with that many writes (0: it only reads). */
void fk_rate_limiter_submit(FkRateLimiter *limiter, guint level, guint writes, gpointer item);
/* A request was refused by the other side for exceeding its rate: all tokens are void, and it goes first
 * again in its level. */
void fk_rate_limiter_requeue(FkRateLimiter *limiter, guint level, guint writes, gpointer item);
/* Charges a request that was sent in any case. */
void fk_rate_limiter_charge(FkRateLimiter *limiter);
/* Changes the rates from now on. */
void fk_rate_limiter_set_rates(FkRateLimiter *limiter, double requests_per_s, double writes_per_s);
/* How many writes would be sent at once at this level. */
double fk_rate_limiter_available_writes(FkRateLimiter *limiter, guint level);
