/* Service levels of classes of jobs and of teams. The service level is the served share of the jobs that have
 * had time to start: the part of their tasks that is done or runs. A class or team starves if less than half
 * is served and its oldest job with waiting tasks is more than a minute old, however well others are served.
 * The service levels are logged, and jobs of starving classes and teams are preferred
 * (core/scheduling/starvation.h). Pure: the caller reports the jobs. */
#pragma once
#include <glib.h>

typedef struct FkServiceLevel FkServiceLevel;

/* The state of one class, of the largest jobs of one class, or of one team. `ended` is updated when a job
 * ends, all other numbers by fk_service_level_begin() and fk_service_level_add_live_job(). The caller leaves
 * out live jobs that are cancelled, failing or blocked. */
typedef struct {
  const char *name; /* borrowed */
  enum {
    FK_SERVICE_LEVEL_CLASS,
    FK_SERVICE_LEVEL_LARGEST,
    FK_SERVICE_LEVEL_TEAM
  } kind;                   /* LARGEST: only the largest jobs of a class */
  guint ended;              /* jobs done since the last fk_service_level_clear() */
  guint live;               /* live jobs */
  guint64 waiting, running; /* tasks of live jobs */
  double cpus;              /* allocated CPUs */
  double expected_jobs;     /* live jobs that have had time to start, and jobs that are done */
  /* served part of `expected_jobs`: a live job counts as the fraction of its tasks that run or are done */
  double served_jobs;
  double oldest_wait_s; /* the age of the oldest job with waiting tasks */
} FkServiceLevelRow;

/* A live job, as reported by the caller. */
typedef struct {
  const char *class_name, *team;
  double age_s;
  guint32 tasks, done, running, waiting;
  double cpus; /* allocated CPUs */
  double size; /* size of the whole job, in CPU-seconds */
} FkServiceLevelJob;

FkServiceLevel *fk_service_level_new(void);
void fk_service_level_free(FkServiceLevel *level);
void fk_service_level_clear(FkServiceLevel *level);
/* Adds a job's size (CPU-seconds) to its class's histogram. Must be called once for each job. */
void fk_service_level_add_size(FkServiceLevel *level, const char *class_name, double size);
/* Returns whether a job of `size` is among the largest tenth of its class, according to the histogram, which
 * has four steps per doubling of the size. The largest job of a class always counts as large. */
gboolean fk_service_level_is_large(const FkServiceLevel *level, const char *class_name, double size);
/* Counts a job that is done. */
void fk_service_level_job_ended(FkServiceLevel *level, const char *class_name, const char *team, double size);

/* Starts a new count. The caller then calls fk_service_level_add_live_job() for every live job. */
void fk_service_level_begin(FkServiceLevel *level);
void fk_service_level_add_live_job(FkServiceLevel *level, const FkServiceLevelJob *job);

/* Returns the served share of the expected jobs, from 0 to 1; 1 if no job is expected to be served yet. */
double fk_service_level_share(const FkServiceLevelRow *row);
/* Returns whether the jobs of the row starve: less than half of `expected_jobs` is served, and the oldest job
 * with waiting tasks is more than a minute old. */
gboolean fk_service_level_is_starved(const FkServiceLevelRow *row);
/* Returns the class's row (borrowed), or NULL. */
const FkServiceLevelRow *fk_service_level_class(const FkServiceLevel *level, const char *name);
/* Returns the row of the class's largest jobs (borrowed), or NULL. */
const FkServiceLevelRow *fk_service_level_largest(const FkServiceLevel *level, const char *class_name);
/* Returns the team's row (borrowed), or NULL. */
const FkServiceLevelRow *fk_service_level_team(const FkServiceLevel *level, const char *name);
/* Returns all rows (borrowed), sorted by kind and name; the caller frees the array. */
GPtrArray *fk_service_level_rows(const FkServiceLevel *level);
