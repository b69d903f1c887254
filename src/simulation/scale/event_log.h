/* What happened to the jobs and tasks of a region, as its stand-ins observed it: one line per event, from
 * which the rules are checked after the run. Times are microseconds of the monotonic clock, which all
 * processes of a machine share. */
#pragma once
#include <glib.h>

/* The values are part of the files. */
typedef enum {
  FK_RUN_EVENT_TASK_STARTED,     /* it has its image and runs on that machine */
  FK_RUN_EVENT_TASK_DONE,        /* it left the machine and is done */
  FK_RUN_EVENT_TASK_LOST,        /* it left the machine and is not done */
  FK_RUN_EVENT_SUBMITTED,        /* the user's first attempt */
  FK_RUN_EVENT_ACCEPTED,         /* the submission was acknowledged */
  FK_RUN_EVENT_REJECTED,         /* the user gave up submitting */
  FK_RUN_EVENT_JOB_DONE,         /* reported to the user */
  FK_RUN_EVENT_JOB_CANCELLED,    /* reported to the user */
  FK_RUN_EVENT_CANCEL_REQUESTED, /* the user's first attempt */
  FK_RUN_EVENT_POLL_ACTIVE,      /* a poll was answered: queued or running */
  FK_RUN_EVENT_POLL_NOT_FOUND    /* a poll was answered with 404 */
} FkRunEventKind;

typedef struct {
  gint64 at_us;
  FkRunEventKind kind;
  char *job;
  guint32 task;  /* of the task events, else 0 */
  char *machine; /* of the task events, else NULL */
} FkRunEvent;

typedef struct FkEventLog FkEventLog;

/* Writes to `dir`/`name`.events. NULL with an error when the file can't be written. */
FkEventLog *fk_event_log_new(const char *dir, const char *name, GError **error);
/* Accepts NULL. */
void fk_event_log_free(FkEventLog *log);
/* Logs an event that happens now. */
void fk_event_log_add(FkEventLog *log, FkRunEventKind kind, const char *job, guint32 task,
                      const char *machine);
/* Logs an event that happened at `at_us`. */
void fk_event_log_add_at(FkEventLog *log, gint64 at_us, FkRunEventKind kind, const char *job, guint32 task,
                         const char *machine);

/* An empty array of FkRunEvent that owns its strings. */
GArray *fk_run_events_new(void);
/* Appends the events of a log file; FALSE with an error when it can't be read or a line is malformed. */
gboolean fk_event_log_read(const char *dir, const char *name, GArray *events, GError **error);
/* Sorts by time. */
void fk_run_events_sort(GArray *events);
