/* What truly happened in a region, as its stand-ins saw it: lines that the rules are checked on when the run
 * is over. Times are microseconds of the steady clock, which all processes of a machine share. */
#pragma once
#include <glib.h>
#include <stdio.h>

typedef enum {
  FK_EVENT_BEGAN,     /* a task holds its image, on that machine */
  FK_EVENT_ENDED,     /* it is no more there, and done */
  FK_EVENT_LEFT,      /* it is no more there, and not done */
  FK_EVENT_SUBMITTED, /* its user tried for the first time */
  FK_EVENT_ACCEPTED,  /* its user was told that it is */
  FK_EVENT_REFUSED,   /* its user gave up submitting */
  FK_EVENT_DONE,      /* its user was told so */
  FK_EVENT_CANCELLED, /* its user was told so */
  FK_EVENT_ASKED_CANCEL,
  FK_EVENT_ANSWERED, /* a question about it was answered: queued or running */
  FK_EVENT_UNKNOWN   /* a question about it was answered with 404 */
} FkEventKind;

typedef struct {
  gint64 at_us;
  FkEventKind kind;
  char *job;
  guint32 task;  /* of the first three */
  char *machine; /* of the first three, else NULL */
} FkRunEvent;

typedef struct FkEventLog FkEventLog;
FkEventLog *fk_event_log_new(const char *dir, const char *name, GError **error);
void fk_event_log_free(FkEventLog *l);
/* It happened now. */
void fk_event_log_add(FkEventLog *l, FkEventKind kind, const char *job, guint32 task, const char *machine);
/* It happened then. */
void fk_event_log_add_at(FkEventLog *l, gint64 at_us, FkEventKind kind, const char *job, guint32 task,
                         const char *machine);

/* Appends what a log holds; FALSE: it can't be read. */
gboolean fk_event_log_read(const char *dir, const char *name, GArray *events /* FkRunEvent */,
                           GError **error);
GArray *fk_run_events_new(void);
/* By time. */
void fk_run_events_sort(GArray *events);
