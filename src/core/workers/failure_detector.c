#include "core/workers/failure_detector.h"

#define PARTITION_MISSED_PROBES 2 /* questions in a row without an answer ... */
#define PARTITION_AFTER_S 3.0     /* ... over so long ... */
#define PARTITION_REPLIES                                                                                    \
  2 /* ... and so many answers to its reports without an effect: the second was given to a                   \
       report that shows nothing of the first */
#define LEASE_LAPSE_SLACK_S                                                                                  \
  6.0 /* a report's way, and the time that its answer may take, are part of the lease */

void fk_failure_detector_acquired(FkFailureDetector *e, FkTime now) {
  e->owned_since = now;
  e->token_first_echoed_at.us = e->last_replied_at.us = 0;
}

static void note_receiving(FkFailureDetector *e) {
  e->first_missed_at.us = 0;
  e->missed_probes = e->replies_without_effect = 0;
  e->lease_lapsed = FALSE;
}

static gboolean sequence_is_known(FkHeartbeatSequence t) { return t.incarnation || t.sequence; }

static void accept_message(FkFailureDetector *e, FkHeartbeatSequence at, double lease_s, FkTime now) {
  gboolean next = sequence_is_known(e->newest_message) && at.incarnation > e->newest_message.incarnation;
  /* A session ends when no answer to a report of the last `lease_s` arrived. */
  if (next && e->last_replied_at.us && e->replied_incarnation == e->newest_message.incarnation &&
      fk_time_between(e->last_replied_at, now) < lease_s - LEASE_LAPSE_SLACK_S)
    e->lease_lapsed = TRUE;
  if (!sequence_is_known(e->newest_message) || next)
    e->incarnation_began = now;
  e->newest_message = at;
}

FkHeartbeatFreshness fk_failure_detector_heartbeat(FkFailureDetector *e, FkHeartbeatSequence at,
                                                   double lease_s, FkTime now) {
  if (sequence_is_known(e->newest_heartbeat) && !fk_heartbeat_sequence_after(at, e->newest_heartbeat))
    return FK_HEARTBEAT_DUPLICATE;
  e->newest_heartbeat = at;
  if (sequence_is_known(e->newest_message) && !fk_heartbeat_sequence_after(at, e->newest_message))
    return FK_HEARTBEAT_STALE;
  accept_message(e, at, lease_s, now);
  return FK_HEARTBEAT_NEW;
}

void fk_failure_detector_probe_sent(FkFailureDetector *e) { e->newest_at_probe = e->newest_message; }

FkHeartbeatFreshness fk_failure_detector_probe_answered(FkFailureDetector *e, FkHeartbeatSequence at,
                                                        double lease_s, FkTime now) {
  /* What it says now is older than what it had said before it was asked: its count began anew. */
  if (sequence_is_known(e->newest_at_probe) && !fk_heartbeat_sequence_after(at, e->newest_at_probe)) {
    e->newest_heartbeat = (FkHeartbeatSequence){0, 0};
    e->newest_message = at;
    e->incarnation_began = now;
    e->token_echoed.n = 0;
    note_receiving(e);
    return FK_HEARTBEAT_RESTARTED;
  }
  note_receiving(e);
  e->last_heard_at = now;
  if (sequence_is_known(e->newest_message) && !fk_heartbeat_sequence_after(at, e->newest_message))
    return FK_HEARTBEAT_STALE;
  accept_message(e, at, lease_s, now);
  e->lease_lapsed = FALSE; /* whatever was lost before: it hears now */
  return FK_HEARTBEAT_NEW;
}

void fk_failure_detector_probe_missed(FkFailureDetector *e, FkTime now) {
  if (!e->missed_probes++)
    e->first_missed_at = now;
}

void fk_failure_detector_replied(FkFailureDetector *e, FkTime now) {
  e->last_replied_at = now;
  e->replied_incarnation = e->newest_message.incarnation;
  e->replies_without_effect += e->missed_probes > 0;
}

gboolean fk_failure_detector_token_echoed(FkFailureDetector *e, FkRev claim, FkTime now) {
  e->last_heard_at = now;
  if (fk_rev_equal(e->token_echoed, claim))
    return FALSE;
  e->token_echoed = claim;
  if (!e->token_first_echoed_at.us)
    e->token_first_echoed_at = now;
  note_receiving(e);
  return TRUE;
}

void fk_failure_detector_effect_seen(FkFailureDetector *e) { note_receiving(e); }

gboolean fk_failure_detector_is_suspected(const FkFailureDetector *e) {
  return e->missed_probes || e->lease_lapsed;
}

gboolean fk_failure_detector_is_partitioned(const FkFailureDetector *e, FkTime now) {
  return e->lease_lapsed ||
         (e->missed_probes >= PARTITION_MISSED_PROBES && e->replies_without_effect >= PARTITION_REPLIES &&
          fk_time_between(e->first_missed_at, now) > PARTITION_AFTER_S);
}

FkTime fk_failure_detector_silent_since(const FkFailureDetector *e) {
  return e->last_heard_at.us > e->owned_since.us ? e->last_heard_at : e->owned_since;
}

FkTime fk_failure_detector_lease_from(const FkFailureDetector *e, double trust_s) {
  /* until the worker has seen our token, an earlier home may have gone on answering for as long as it trusted
   * its view */
  FkTime from = e->token_first_echoed_at.us ? e->token_first_echoed_at : fk_time_add(e->owned_since, trust_s);
  if (e->last_replied_at.us > from.us)
    from = e->last_replied_at;
  /* A new session has a lease of its own from its start, answered or not: starts that we sent straight to it
   * may be carried out until that ends. */
  return e->incarnation_began.us > from.us ? e->incarnation_began : from;
}
