/* A rate budget: what may go out at once does, the rest waits in order of priority, and a full queue sheds.
 */
#pragma once
#include <glib.h>

typedef struct FkRateLimiter FkRateLimiter;
typedef void (*FkRateLimiterCallback)(gpointer data, gpointer item);

/* `rate` and `write_rate` a second, with bursts of `burst_s` seconds. The first `urgent` levels may run it
 * into debt. */
FkRateLimiter *fk_rate_limiter_new(double rate, double write_rate, double burst_s, guint levels, guint urgent,
                                   guint max_queue, FkRateLimiterCallback send, FkRateLimiterCallback shed,
                                   gpointer data);
void fk_rate_limiter_free(FkRateLimiter *b);
void fk_rate_limiter_submit(FkRateLimiter *b, guint level, guint writes, gpointer item);
/* What this controller's share is now. */
void fk_rate_limiter_set_rates(FkRateLimiter *b, double rate, double write_rate);
/* Writes that would go out at once at this level. */
double fk_rate_limiter_available_writes(FkRateLimiter *b, guint level);
/* Refused for want of budget: the others have used it. It goes first again, after a pause. */
void fk_rate_limiter_requeue(FkRateLimiter *b, guint level, guint writes, gpointer item);
/* Counts a request that goes out in any case (hold renewals, watches). */
void fk_rate_limiter_charge(FkRateLimiter *b);
