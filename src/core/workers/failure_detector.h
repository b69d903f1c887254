/* The failure detector: what is known of one worker, that it is alive and that it receives our messages.
 *
 * The two are different facts. A worker that is cut off in one direction goes on sending heartbeats, loses
 * its lease again and again, looks empty, and takes launches that never start. A heartbeat by itself proves
 * neither: it may be a duplicate of any age, sent to any controller, in any of its incarnations. What proves
 * something is what shows an effect of ours, and the reply to a probe that was sent just now.
 *
 * Pure: the owner says what was received and what was sent. */
#pragma once
#include "common/types.h"

/* A message of the worker's own count: the larger is the newer, until the worker's machine restarts. */
typedef struct {
  guint64 incarnation, sequence;
} FkHeartbeatSequence;

static inline gboolean fk_heartbeat_sequence_after(FkHeartbeatSequence a, FkHeartbeatSequence b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence;
}

typedef struct {
  FkTime owned_since; /* the beginning of our present ownership */
  /* Whether it is alive. */
  FkTime token_first_echoed_at; /* when a message first showed a token of this ownership; 0: none has */
  FkRev token_echoed;           /* the latest of our tokens that it has shown */
  FkTime last_contact_at;       /* when something that proves it alive came last */
  FkTime last_replied_at;       /* when we last replied to a heartbeat during this ownership; 0: never ... */
  guint64 replied_incarnation;  /* ... and the worker's incarnation then */
  FkHeartbeatSequence newest_message;   /* the newest message, and ... */
  FkHeartbeatSequence newest_heartbeat; /* ... the newest heartbeat: a probe's reply may overtake one */
  FkHeartbeatSequence newest_at_probe;  /* what was the newest when the probe under way was sent */
  FkTime incarnation_began;             /* the present incarnation began before this */
  /* Whether it receives our messages. */
  FkTime first_missed_at;       /* when the first of the missed probes in a row was given up; 0: none */
  guint missed_probes;          /* how many there are in a row */
  guint replies_without_effect; /* heartbeats that we replied to since then, without an effect */
  gboolean lease_lapsed;        /* its lease ran out although we replied in time */
} FkFailureDetector;

/* What a message says, compared with what is known. */
typedef enum {
  FK_HEARTBEAT_NEW,       /* the worker's present state, as far as anybody knows */
  FK_HEARTBEAT_STALE,     /* true, and older than what is known; its sender waits for the reply */
  FK_HEARTBEAT_DUPLICATE, /* nobody waits for the reply; or the worker has restarted: only a probe can tell */
  FK_HEARTBEAT_RESTARTED  /* the reply to a probe shows that the worker's count began again: it restarted */
} FkHeartbeatFreshness;

/* We own the worker from now on, after not having owned it. */
void fk_failure_detector_acquired(FkFailureDetector *detector, FkTime now);
/* A heartbeat was received. `lease_s`: the shortest that the worker's lease lasts after a reply. */
FkHeartbeatFreshness fk_failure_detector_heartbeat(FkFailureDetector *detector, FkHeartbeatSequence sequence,
                                                   double lease_s, FkTime now);
/* A direct call, with or without commands, was sent to the worker. */
void fk_failure_detector_probe_sent(FkFailureDetector *detector);
/* The worker has replied to it. */
FkHeartbeatFreshness fk_failure_detector_probe_answered(FkFailureDetector *detector,
                                                        FkHeartbeatSequence sequence, double lease_s,
                                                        FkTime now);
/* It hasn't in time. */
void fk_failure_detector_probe_missed(FkFailureDetector *detector, FkTime now);
/* We have replied to its newest heartbeat. */
void fk_failure_detector_replied(FkFailureDetector *detector, FkTime now);
/* The newest message shows our present fencing token. Returns TRUE when it is the first to do so. */
gboolean fk_failure_detector_token_echoed(FkFailureDetector *detector, FkRev token, FkTime now);
/* A message shows something that only a command of ours can have brought about. */
void fk_failure_detector_effect_seen(FkFailureDetector *detector);
/* It may be gone or cut off: nothing new is started there until it replies. */
gboolean fk_failure_detector_is_suspected(const FkFailureDetector *detector);
/* A one-way partition: it is heard, and our probes and replies are lost on the way to it. */
gboolean fk_failure_detector_is_partitioned(const FkFailureDetector *detector, FkTime now);
/* Since when it hasn't been heard. */
FkTime fk_failure_detector_silent_since(const FkFailureDetector *detector);
/* The moment from which a lease that nobody renews runs. `trust_s`: seconds that an earlier owner may have
 * gone on replying after we acquired the shard. */
FkTime fk_failure_detector_lease_from(const FkFailureDetector *detector, double trust_s);
