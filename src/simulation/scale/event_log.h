/* What truly happened in a region, as its stand-ins saw it: lines that the rules are checked on when the run
 * is over. Times are microseconds of the steady clock, which all processes of a machine share. */
#pragma once
#include <glib.h>
#include <stdio.h>

typedef enum {
  FK_RUN_EVENT_TASK_STARTED,  /* a task holds its image, on that machine */
  FK_RUN_EVENT_TASK_DONE,     /* it is no more there, and done */
  FK_RUN_EVENT_TASK_LOST,     /* it is no more there, and not done */
  FK_RUN_EVENT_SUBMITTED,     /* its user tried for the first time */
  FK_RUN_EVENT_ACCEPTED,      /* its user was told that it is */
  FK_RUN_EVENT_REJECTED,      /* its user gave up submitting */
  FK_RUN_EVENT_JOB_DONE,      /* its user was told so */
  FK_RUN_EVENT_JOB_CANCELLED, /* its user was told so */
  FK_RUN_EVENT_CANCEL_REQUESTED,
  FK_RUN_EVENT_POLL_ACTIVE,   /* a question about it was answered: queued or running */
  FK_RUN_EVENT_POLL_NOT_FOUND /* a question about it was answered with 404 */
} FkRunEventKind;

typedef struct {
  gint64 at_us;
  FkRunEventKind kind;
  char *job;
  guint32 task;  /* of the first three */
  char *machine; /* of the first three, else NULL */
} FkRunEvent;

typedef struct FkEventLog FkEventLog;
FkEventLog *fk_event_log_new(const char *dir, const char *name, GError **error);
void fk_event_log_free(FkEventLog *l);
/* It happened now. */
void fk_event_log_add(FkEventLog *l, FkRunEventKind kind, const char *job, guint32 task, const char *machine);
/* It happened then. */
void fk_event_log_add_at(FkEventLog *l, gint64 at_us, FkRunEventKind kind, const char *job, guint32 task,
                         const char *machine);

/* Appends what a log holds; FALSE: it can't be read. */
gboolean fk_event_log_read(const char *dir, const char *name, GArray *events /* FkRunEvent */,
                           GError **error);
GArray *fk_run_events_new(void);
/* By time. */
void fk_run_events_sort(GArray *events);
