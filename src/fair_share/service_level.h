/* Service levels of classes of jobs and of teams: of the jobs that have had time to start, how much is done
 * or runs. A class of which less than half is served starves, however well the others do; it is logged, and
 * its jobs' priority is raised (core/scheduling/starvation.h). Pure; the caller says which jobs there are. */
#pragma once
#include <glib.h>

typedef struct FkServiceLevel FkServiceLevel;

/* One class or team as of the latest count. Cancelled jobs count nowhere. */
typedef struct {
  const char *name; /* borrowed */
  enum {
    FK_SERVICE_LEVEL_CLASS,
    FK_SERVICE_LEVEL_LARGEST,
    FK_SERVICE_LEVEL_TEAM
  } kind;                   /* LARGEST: only the largest jobs of a class */
  guint ended;              /* jobs done since the last fk_service_level_clear() */
  guint live;               /* jobs */
  guint64 waiting, running; /* tasks of live jobs */
  double cpus;              /* allocated */
  double expected_jobs;     /* jobs that have had time to start, and those done ... */
  double served_jobs; /* ... and how many of them are served: each counts by its part of tasks that run or are
                         done */
  double oldest_wait_s; /* the age of the oldest job with waiting tasks */
} FkServiceLevelRow;

/* A live job. */
typedef struct {
  const char *class_name, *team;
  double age_s;
  guint32 tasks, done, running, waiting;
  double cpus; /* allocated */
  double size; /* of the whole job, in CPU-seconds */
} FkServiceLevelJob;

FkServiceLevel *fk_service_level_new(void);
void fk_service_level_free(FkServiceLevel *level);
void fk_service_level_clear(FkServiceLevel *level);
/* Adds a job's size (CPU-seconds) to its class's histogram; to be called once for each job. */
void fk_service_level_add_size(FkServiceLevel *level, const char *class_name, double size);
/* Whether a job of that size is one of the largest tenth of its class, by the histogram, whose steps are
 * about a fifth. The largest job always is. */
gboolean fk_service_level_is_large(const FkServiceLevel *level, const char *class_name, double size);
/* Counts a job that is done. */
void fk_service_level_job_ended(FkServiceLevel *level, const char *class_name, const char *team, double size);

/* Counts anew: first call this, then the next function for every live job. */
void fk_service_level_begin(FkServiceLevel *level);
void fk_service_level_add_live_job(FkServiceLevel *level, const FkServiceLevelJob *job);

/* The served part of the expected jobs, from 0 to 1; 1 when none is expected yet. */
double fk_service_level_share(const FkServiceLevelRow *row);
/* Less than half is served, and a task has waited for more than a minute. */
gboolean fk_service_level_is_starved(const FkServiceLevelRow *row);
/* The class's row, borrowed, or NULL. */
const FkServiceLevelRow *fk_service_level_class(const FkServiceLevel *level, const char *name);
/* The row of the class's largest jobs, or NULL. */
const FkServiceLevelRow *fk_service_level_largest(const FkServiceLevel *level, const char *class_name);
/* The team's row, or NULL. */
const FkServiceLevelRow *fk_service_level_team(const FkServiceLevel *level, const char *name);
/* All rows (borrowed), by kind and name; free the array. */
GPtrArray *fk_service_level_rows(const FkServiceLevel *level);
