/* Whether every class of jobs and every team is served: what has been asked for long enough, and how much of
 * it is done or runs. A class of which less than half is served is a failure however well the others do, so
 * it is watched, told, and lifted up (core/place.c). Pure; the owner says what it sees. */
#pragma once
#include <glib.h>

typedef struct FkServiceLevel FkServiceLevel;

/* One class or team at the latest look. Jobs that their users have withdrawn count nowhere. */
typedef struct {
  const char *name; /* the book's own */
  enum {
    FK_SERVICE_LEVEL_CLASS,
    FK_SERVICE_LEVEL_LARGEST,
    FK_SERVICE_LEVEL_TEAM
  } kind;      /* LARGEST: the largest jobs of the class */
  guint ended; /* jobs done since the book was opened */
  guint live;
  guint64 waiting, running; /* tasks of live jobs */
  double cpus;              /* booked */
  double expected_jobs;     /* jobs that have had time, the ended ones as well ... */
  double served_jobs;       /* ... and how many of those are served: each by its tasks that run or are done */
  double oldest_wait_s;     /* the longest that a job with waiting tasks has been there */
} FkServiceLevelRow;

typedef struct {
  const char *class_name, *team;
  double age_s;
  guint32 tasks, done, running, waiting;
  double cpus; /* booked */
  double size; /* what the whole job takes, in CPU-seconds */
} FkServiceLevelJob;

FkServiceLevel *fk_service_level_new(void);
void fk_service_level_free(FkServiceLevel *b);
void fk_service_level_clear(FkServiceLevel *b);
/* A job of that size is there: once for each job. */
void fk_service_level_add_size(FkServiceLevel *b, const char *class_name, double size);
/* Whether a job of that size is one of the largest of its class: of the largest tenth of those seen, and
 * those as large as the least of them; one at the least. Sizes count in steps of a fifth. */
gboolean fk_service_level_is_large(const FkServiceLevel *b, const char *class_name, double size);
/* A job is done. */
void fk_service_level_job_ended(FkServiceLevel *b, const char *class_name, const char *team, double size);

/* A look: first this, then every live job. */
void fk_service_level_begin(FkServiceLevel *b);
void fk_service_level_add_live_job(FkServiceLevel *b, const FkServiceLevelJob *j);

/* From 0 to 1; 1 when nothing is due yet. */
double fk_service_level_share(const FkServiceLevelRow *r);
/* Less than half is served, and something has waited for long. */
gboolean fk_service_level_is_starved(const FkServiceLevelRow *r);
/* The row as of the latest look, or NULL. */
const FkServiceLevelRow *fk_service_level_class(const FkServiceLevel *b, const char *name);
/* The row of the class's largest jobs. */
const FkServiceLevelRow *fk_service_level_largest(const FkServiceLevel *b, const char *class_name);
const FkServiceLevelRow *fk_service_level_team(const FkServiceLevel *b, const char *name);
/* All rows, by kind and name. Free the array; the rows are the book's. */
GPtrArray *fk_service_level_rows(const FkServiceLevel *b);
