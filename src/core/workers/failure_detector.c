#include "core/workers/failure_detector.h"

#define DEAF_CALLS 2 /* questions in a row without an answer ... */
#define DEAF_S 3.0   /* ... over so long ... */
#define DEAF_ANSWERS                                                                                         \
  2 /* ... and so many answers to its reports without an effect: the second was given to a                   \
       report that shows nothing of the first */
#define LAPSE_SLACK_S 6.0 /* a report's way, and the time that its answer may take, are part of the lease */

void fk_evidence_claimed(FkEvidence *e, FkTime now) {
  e->claimed = now;
  e->first_shown.us = e->answered.us = 0;
}

static void hears(FkEvidence *e) {
  e->missed.us = 0;
  e->unanswered = e->answers_since = 0;
  e->lapsed = FALSE;
}

static gboolean known(FkTally t) { return t.session || t.seq; }

static void take(FkEvidence *e, FkTally at, double lease_s, FkTime now) {
  gboolean next = known(e->last) && at.session > e->last.session;
  /* A session ends when no answer to a report of the last `lease_s` arrived. */
  if (next && e->answered.us && e->answered_session == e->last.session &&
      fk_time_between(e->answered, now) < lease_s - LAPSE_SLACK_S)
    e->lapsed = TRUE;
  if (!known(e->last) || next)
    e->session_began = now;
  e->last = at;
}

FkNews fk_evidence_report(FkEvidence *e, FkTally at, double lease_s, FkTime now) {
  if (known(e->told) && !fk_tally_after(at, e->told))
    return FK_NEWS_COPY;
  e->told = at;
  if (known(e->last) && !fk_tally_after(at, e->last))
    return FK_NEWS_OVERTAKEN;
  take(e, at, lease_s, now);
  return FK_NEWS_NEW;
}

void fk_evidence_asked(FkEvidence *e) { e->asked = e->last; }

FkNews fk_evidence_reply(FkEvidence *e, FkTally at, double lease_s, FkTime now) {
  /* What it says now is older than what it had said before it was asked: its count began anew. */
  if (known(e->asked) && !fk_tally_after(at, e->asked)) {
    e->told = (FkTally){0, 0};
    e->last = at;
    e->session_began = now;
    e->shown.n = 0;
    hears(e);
    return FK_NEWS_ANEW;
  }
  hears(e);
  e->heard = now;
  if (known(e->last) && !fk_tally_after(at, e->last))
    return FK_NEWS_OVERTAKEN;
  take(e, at, lease_s, now);
  e->lapsed = FALSE; /* whatever was lost before: it hears now */
  return FK_NEWS_NEW;
}

void fk_evidence_no_reply(FkEvidence *e, FkTime now) {
  if (!e->unanswered++)
    e->missed = now;
}

void fk_evidence_answered(FkEvidence *e, FkTime now) {
  e->answered = now;
  e->answered_session = e->last.session;
  e->answers_since += e->unanswered > 0;
}

gboolean fk_evidence_shows(FkEvidence *e, FkRev claim, FkTime now) {
  e->heard = now;
  if (fk_rev_eq(e->shown, claim))
    return FALSE;
  e->shown = claim;
  if (!e->first_shown.us)
    e->first_shown = now;
  hears(e);
  return TRUE;
}

void fk_evidence_effect(FkEvidence *e) { hears(e); }

gboolean fk_evidence_doubtful(const FkEvidence *e) { return e->unanswered || e->lapsed; }

gboolean fk_evidence_deaf(const FkEvidence *e, FkTime now) {
  return e->lapsed || (e->unanswered >= DEAF_CALLS && e->answers_since >= DEAF_ANSWERS &&
                       fk_time_between(e->missed, now) > DEAF_S);
}

FkTime fk_evidence_quiet_since(const FkEvidence *e) {
  return e->heard.us > e->claimed.us ? e->heard : e->claimed;
}

FkTime fk_evidence_lease_from(const FkEvidence *e, double trust_s) {
  /* until the worker has seen our token, an earlier home may have gone on answering for as long as it trusted
   * its view */
  FkTime from = e->first_shown.us ? e->first_shown : fk_time_add(e->claimed, trust_s);
  if (e->answered.us > from.us)
    from = e->answered;
  /* A new session has a lease of its own from its start, answered or not: starts that we sent straight to it
   * may be carried out until that ends. */
  return e->session_began.us > from.us ? e->session_began : from;
}
