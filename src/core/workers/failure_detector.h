/* What is known of one machine: that it speaks, and that it hears. The two are different facts: one whose
 * answers are lost reports on, loses its lease again and again, looks empty, and takes launches that never
 * start. A report by itself proves neither: it may be a copy of any age, told to any controller, in any of
 * its lives. What proves something is what shows an effect of ours, and the answer to a question that was
 * asked just now. Pure; the owner says what came and what was sent. */
#pragma once
#include "core/types.h"

/* A message of the machine's own count: the larger is the newer, within one life of the machine. */
typedef struct {
  guint64 session, seq;
} FkTally;

static inline gboolean fk_tally_after(FkTally a, FkTally b) {
  return a.session != b.session ? a.session > b.session : a.seq > b.seq;
}

typedef struct {
  FkTime claimed;     /* this stretch of ours as its home began */
  FkTime first_shown; /* when a message first showed a token of this stretch; 0: none has */
  FkRev shown;        /* the latest of our tokens that it has shown */
  FkTime heard;       /* when something that proves it alive came last */
  FkTime answered;    /* when we last answered a report of this stretch; 0: never */
  guint64 answered_session;
  FkTally last;         /* the newest message, and ... */
  FkTally told;         /* ... the newest report: an answer to a question may overtake a report */
  FkTally asked;        /* what was the newest when the question under way was put */
  FkTime session_began; /* the present session began before this */
  /* Whether it hears us. */
  FkTime missed;       /* the first of the questions in a row that it hasn't answered was given up; 0: none */
  guint unanswered;    /* how many there are */
  guint answers_since; /* reports answered since then without an effect */
  gboolean lapsed;     /* its lease ran out although we answered in time */
} FkEvidence;

typedef enum {
  FK_NEWS_NEW,       /* the machine's present state, as far as anybody knows */
  FK_NEWS_OVERTAKEN, /* true, and older than what is known; who sent it waits for an answer */
  FK_NEWS_COPY,      /* nobody waits for an answer; or the machine has begun anew: only a question can tell */
  FK_NEWS_ANEW       /* the answer to a question shows that its count began anew: so did the machine */
} FkNews;

/* We are home to it from now on, after not having been. */
void fk_evidence_claimed(FkEvidence *e, FkTime now);
/* A report has come. `lease_s`: the shortest that its lease lasts after an answer. */
FkNews fk_evidence_report(FkEvidence *e, FkTally at, double lease_s, FkTime now);
/* A question is asked, or orders are sent, straight to it. */
void fk_evidence_asked(FkEvidence *e);
/* It has answered that. */
FkNews fk_evidence_reply(FkEvidence *e, FkTally at, double lease_s, FkTime now);
/* It hasn't in time. */
void fk_evidence_no_reply(FkEvidence *e, FkTime now);
/* We have answered its latest report. */
void fk_evidence_answered(FkEvidence *e, FkTime now);
/* A message that is the newest shows our claim's token. Returns TRUE when it is the first to do so. */
gboolean fk_evidence_shows(FkEvidence *e, FkRev claim, FkTime now);
/* Something that only orders of ours can have brought about shows. */
void fk_evidence_effect(FkEvidence *e);
/* Nothing new goes there until it answers. */
gboolean fk_evidence_doubtful(const FkEvidence *e);
/* It speaks, and doesn't hear: questions and answers are lost on the way to it. */
gboolean fk_evidence_deaf(const FkEvidence *e, FkTime now);
/* Since when it has been quiet. */
FkTime fk_evidence_quiet_since(const FkEvidence *e);
/* The moment from which a lease that nobody renews runs. `trust_s`: how long an earlier home may have gone on
 * answering after our claim. */
FkTime fk_evidence_lease_from(const FkEvidence *e, double trust_s);
