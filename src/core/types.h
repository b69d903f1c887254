/* Small types of their own for ids, versions and times, so that they can't be mixed up. */
#pragma once
#include <glib.h>

/* A moment on this process's steady clock. */
typedef struct {
  gint64 us;
} FkTime;

/* A store revision; 0 means "the key does not exist". */
typedef struct {
  guint64 n;
} FkRev;

/* A machine's token: the revision of the claim that names its home. */
typedef struct {
  guint64 n;
} FkFencingToken;

/* The number of one try to run a task. */
typedef struct {
  guint64 n;
} FkAttempt;

/* Identifies an open request to the service; the shell answers it. */
typedef struct {
  guint64 n;
} FkRequestId;

static inline FkTime fk_time_add(FkTime t, double s) { return (FkTime){t.us + (gint64)(s * 1e6)}; }
/* Seconds from `from` to `to`. */
static inline double fk_time_between(FkTime from, FkTime to) { return (double)(to.us - from.us) / 1e6; }
static inline gboolean fk_time_reached(FkTime now, FkTime when) { return now.us >= when.us; }
static inline gboolean fk_rev_equal(FkRev a, FkRev b) { return a.n == b.n; }

/* The core's state; only its own files see into it. */
typedef struct FkController FkController;
