/* The failure detector of one worker; failure_detector.h defines what counts as proof of what. */
#include "core/workers/failure_detector.h"

/* A worker counts as partitioned if its lease lapsed (`lease_lapsed`), or if all of the following hold: at
 * least PARTITION_MISSED_PROBES probes were missed, the first one timed out more than PARTITION_AFTER_S ago,
 * and at least PARTITION_REPLIES replies to heartbeats since then had no visible effect. Two replies are
 * needed because only the heartbeat after the first reply can show an effect of that reply. */
#define PARTITION_MISSED_PROBES 2
#define PARTITION_AFTER_S 3.0
#define PARTITION_REPLIES 2

/* Upper bound, in seconds, of the lease time that passes while a heartbeat and its reply are in transit. */
#define LEASE_LAPSE_SLACK_S 6.0

void fk_failure_detector_acquired(FkFailureDetector *detector, FkTime now) {
  detector->owned_since = now;
  detector->token_first_echoed_at.us = detector->last_replied_at.us = 0;
}

static void reset_partition_evidence(FkFailureDetector *detector) {
  detector->first_missed_at.us = 0;
  detector->missed_probes = detector->replies_without_effect = 0;
  detector->lease_lapsed = FALSE;
}

static gboolean sequence_is_known(FkHeartbeatSequence sequence) {
  return sequence.incarnation || sequence.sequence;
}

static void accept_message(FkFailureDetector *detector, FkHeartbeatSequence sequence, double lease_s,
                           FkTime now) {
  gboolean next_incarnation = sequence_is_known(detector->newest_message) &&
                              sequence.incarnation > detector->newest_message.incarnation;
  /* A worker begins a new incarnation when none of its heartbeats of the last `lease_s` seconds got a reply.
   * If this controller has replied well within that time, its replies are being lost on the way. */
  if (next_incarnation && detector->last_replied_at.us &&
      detector->replied_incarnation == detector->newest_message.incarnation &&
      fk_time_between(detector->last_replied_at, now) < lease_s - LEASE_LAPSE_SLACK_S)
    detector->lease_lapsed = TRUE;
  if (!sequence_is_known(detector->newest_message) || next_incarnation)
    detector->incarnation_started_at = now;
  detector->newest_message = sequence;
}

FkHeartbeatFreshness fk_failure_detector_heartbeat(FkFailureDetector *detector, FkHeartbeatSequence sequence,
                                                   double lease_s, FkTime now) {
  if (sequence_is_known(detector->newest_heartbeat) &&
      !fk_heartbeat_sequence_after(sequence, detector->newest_heartbeat))
    return FK_HEARTBEAT_DUPLICATE;
  detector->newest_heartbeat = sequence;
  if (sequence_is_known(detector->newest_message) &&
      !fk_heartbeat_sequence_after(sequence, detector->newest_message))
    return FK_HEARTBEAT_STALE;
  accept_message(detector, sequence, lease_s, now);
  return FK_HEARTBEAT_NEW;
}

void fk_failure_detector_probe_sent(FkFailureDetector *detector) {
  detector->newest_at_probe = detector->newest_message;
}

FkHeartbeatFreshness fk_failure_detector_probe_answered(FkFailureDetector *detector,
                                                        FkHeartbeatSequence sequence, double lease_s,
                                                        FkTime now) {
  /* The worker sent this reply after the probe, so the reply's sequence number must be above all numbers that
   * were received before the probe was sent; if it isn't, the numbers have started over. */
  if (sequence_is_known(detector->newest_at_probe) &&
      !fk_heartbeat_sequence_after(sequence, detector->newest_at_probe)) {
    detector->newest_heartbeat = (FkHeartbeatSequence){0, 0};
    detector->newest_message = sequence;
    detector->incarnation_started_at = now;
    detector->token_echoed.n = 0;
    reset_partition_evidence(detector);
    return FK_HEARTBEAT_RESTARTED;
  }
  reset_partition_evidence(detector);
  detector->last_contact_at = now;
  if (sequence_is_known(detector->newest_message) &&
      !fk_heartbeat_sequence_after(sequence, detector->newest_message))
    return FK_HEARTBEAT_STALE;
  accept_message(detector, sequence, lease_s, now);
  detector->lease_lapsed = FALSE; /* the reply proves that the worker receives messages now */
  return FK_HEARTBEAT_NEW;
}

void fk_failure_detector_probe_missed(FkFailureDetector *detector, FkTime now) {
  if (!detector->missed_probes++)
    detector->first_missed_at = now;
}

void fk_failure_detector_reply_sent(FkFailureDetector *detector, FkTime now) {
  detector->last_replied_at = now;
  detector->replied_incarnation = detector->newest_message.incarnation;
  detector->replies_without_effect += detector->missed_probes > 0;
}

gboolean fk_failure_detector_token_echoed(FkFailureDetector *detector, FkRev token, FkTime now) {
  detector->last_contact_at = now;
  if (fk_rev_equal(detector->token_echoed, token))
    return FALSE;
  detector->token_echoed = token;
  if (!detector->token_first_echoed_at.us)
    detector->token_first_echoed_at = now;
  reset_partition_evidence(detector);
  return TRUE;
}

void fk_failure_detector_effect_seen(FkFailureDetector *detector) { reset_partition_evidence(detector); }

gboolean fk_failure_detector_is_suspected(const FkFailureDetector *detector) {
  return detector->missed_probes || detector->lease_lapsed;
}

gboolean fk_failure_detector_is_partitioned(const FkFailureDetector *detector, FkTime now) {
  return detector->lease_lapsed || (detector->missed_probes >= PARTITION_MISSED_PROBES &&
                                    detector->replies_without_effect >= PARTITION_REPLIES &&
                                    fk_time_between(detector->first_missed_at, now) > PARTITION_AFTER_S);
}

FkTime fk_failure_detector_silent_since(const FkFailureDetector *detector) {
  return detector->last_contact_at.us > detector->owned_since.us ? detector->last_contact_at
                                                                 : detector->owned_since;
}

FkTime fk_failure_detector_lease_start(const FkFailureDetector *detector, double trust_s) {
  /* Until the worker has echoed this controller's token, an earlier owner may have gone on replying for as
   * long as it trusted its view. */
  FkTime from = detector->token_first_echoed_at.us ? detector->token_first_echoed_at
                                                   : fk_time_add(detector->owned_since, trust_s);
  if (detector->last_replied_at.us > from.us)
    from = detector->last_replied_at;
  /* A new incarnation begins with a lease of its own, even before any heartbeat is replied to: tasks that
   * this controller starts by a direct call may run until that lease ends. */
  return detector->incarnation_started_at.us > from.us ? detector->incarnation_started_at : from;
}
