/* A rate limiter with priorities, for requests of which some count as writes too: a token bucket each. What
 * has tokens is sent at once, the rest waits by level, and what finds the queue full is shed. */
#pragma once
#include <glib.h>

typedef struct FkRateLimiter FkRateLimiter;
/* Takes `item`. */
typedef void (*FkRateLimiterCallback)(gpointer data, gpointer item);

/* `rate` (requests) and `write_rate` are per second, with bursts of `burst_s` seconds. Level 0 is the most
 * urgent one; the first `urgent` of `levels` levels may overdraw the buckets by a second's tokens.
 * `max_queue`: requests that may wait. `send` and `shed` get `data`. */
FkRateLimiter *fk_rate_limiter_new(double rate, double write_rate, double burst_s, guint levels, guint urgent,
                                   guint max_queue, FkRateLimiterCallback send, FkRateLimiterCallback shed,
                                   gpointer data);
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
void fk_rate_limiter_set_rates(FkRateLimiter *limiter, double rate, double write_rate);
/* How many writes would be sent at once at this level. */
double fk_rate_limiter_available_writes(FkRateLimiter *limiter, guint level);
