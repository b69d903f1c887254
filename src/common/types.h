/* Small types of their own for ids, versions and times, so that they can't be mixed up. */
#pragma once
#include <glib.h>

/* A moment on this process's steady clock. */
typedef struct {
  gint64 us;
} FkTime;

/* A revision of the store; as that of a key 0 means that it does not exist. */
typedef struct {
  guint64 n;
} FkRev;

/* The fencing token of a worker's owner: the revision of the record of its shard. Workers refuse commands
 * with an older one. */
typedef struct {
  guint64 n;
} FkFencingToken;

/* The number of one attempt to run a task. */
typedef struct {
  guint64 n;
} FkAttempt;

/* Identifies an open request to the controller until the daemon has replied to it. */
typedef struct {
  guint64 n;
} FkRequestId;

static inline FkTime fk_time_add(FkTime time, double seconds) {
  return (FkTime){time.us + (gint64)(seconds * 1e6)};
}
/* Seconds from `from` to `to`. */
static inline double fk_time_between(FkTime from, FkTime to) { return (double)(to.us - from.us) / 1e6; }
static inline gboolean fk_time_reached(FkTime now, FkTime when) { return now.us >= when.us; }
static inline gboolean fk_rev_equal(FkRev a, FkRev b) { return a.n == b.n; }

/* The core's state; opaque outside of src/core. */
typedef struct FkController FkController;
