/* Distinct types for revisions, tokens, ids and times, so that the compiler rejects a mix-up. */
#pragma once
#include <glib.h>

/* A time on the monotonic clock of this process, in microseconds. */
typedef struct {
  gint64 us;
} FkTime;

/* A revision of the store. As the revision of a key, 0 means that the key does not exist. */
typedef struct {
  guint64 n;
} FkRev;

/* The fencing token of a shard's owner: the revision of the record that names the owner. Workers reject
 * commands whose token is older than the latest token that they have received. */
typedef struct {
  guint64 n;
} FkFencingToken;

/* The number of an attempt to run a task. Later attempts of the same task have higher numbers. */
typedef struct {
  guint64 n;
} FkAttempt;

/* Identifies a request to the controller until the daemon has replied to it. */
typedef struct {
  guint64 n;
} FkRequestId;

static inline FkTime fk_time_add(FkTime time, double seconds) {
  return (FkTime){time.us + (gint64)(seconds * 1e6)};
}
/* Returns the seconds from `from` to `to`. */
static inline double fk_time_between(FkTime from, FkTime to) { return (double)(to.us - from.us) / 1e6; }
static inline gboolean fk_time_reached(FkTime now, FkTime when) { return now.us >= when.us; }
static inline gboolean fk_rev_equal(FkRev a, FkRev b) { return a.n == b.n; }

/* The state of the controller; opaque outside src/core. */
typedef struct FkController FkController;
