/* The failure detector for one worker. It tracks two separate facts: whether the worker is alive, and whether
 * it receives this controller's messages.
 *
 * They must be separate because of one-way partitions: a worker that receives nothing still sends heartbeats,
 * loses its lease again and again, reports no tasks, and is allocated new tasks that never start. A heartbeat
 * alone proves neither fact: it may be a duplicate of any age, sent to any controller, from any of the
 * worker's incarnations. Proof is either a message that shows an effect of this controller's messages or the
 * reply to a probe that was just sent. One such effect is the fencing token: each message of a worker echoes
 * the latest token that the worker has received.
 *
 * The detector does no I/O and reads no clock: its caller passes in what was received and sent, and when. */
#pragma once
#include "common/types.h"

/* Position of a message in the order in which the worker sent its messages. The larger one is the newer,
 * until the worker's machine restarts and the numbers start over. */
typedef struct {
  guint64 incarnation, sequence;
} FkHeartbeatSequence;

static inline gboolean fk_heartbeat_sequence_after(FkHeartbeatSequence a, FkHeartbeatSequence b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence;
}

/* Times are 0 if the event hasn't happened, sequences are {0, 0} if no such message was received. */
typedef struct {
  FkTime owned_since; /* when this controller's present ownership of the worker began */
  /* Whether the worker is alive. */
  FkTime token_first_echoed_at; /* when, since `owned_since`, a message first echoed a token of this
                                   controller */
  FkRev token_echoed;           /* the latest of this controller's tokens that the worker has echoed */
  FkTime last_contact_at;       /* when the last message that proves the worker alive was received */
  FkTime last_replied_at;       /* when this controller last replied to a heartbeat since `owned_since` */
  guint64 replied_incarnation;  /* the worker's incarnation at `last_replied_at` */
  FkHeartbeatSequence newest_message;   /* the newest heartbeat or probe reply */
  FkHeartbeatSequence newest_heartbeat; /* the newest heartbeat; a probe's reply may overtake a heartbeat */
  FkHeartbeatSequence newest_at_probe;  /* value of `newest_message` when the latest probe was sent */
  FkTime incarnation_started_at;        /* when the present incarnation was first seen; it began earlier */
  /* Whether the worker receives this controller's messages. */
  FkTime first_missed_at;       /* when the first of the consecutive missed probes timed out */
  guint missed_probes;          /* number of consecutive missed probes */
  guint replies_without_effect; /* heartbeats replied to since `first_missed_at` without a visible effect */
  gboolean lease_lapsed;        /* the worker's lease expired although this controller had replied in time */
} FkFailureDetector;

/* How a message relates to the ones received before it. */
typedef enum {
  FK_HEARTBEAT_NEW,       /* the newest message, which shows the worker's present state */
  FK_HEARTBEAT_STALE,     /* genuine but older than the newest message; its sender awaits the reply */
  FK_HEARTBEAT_DUPLICATE, /* no newer than the newest heartbeat: either a copy, whose sender awaits no reply,
                             or the worker has restarted and its sequence numbers have started over; only a
                             probe can distinguish these */
  FK_HEARTBEAT_RESTARTED  /* a probe's reply proves that the sequence numbers started over: the worker has
                             restarted */
} FkHeartbeatFreshness;

/* Records that this controller has become the worker's owner. */
void fk_failure_detector_acquired(FkFailureDetector *detector, FkTime now);
/* Records a received heartbeat. `lease_s`: the shortest time in seconds that the worker's lease lasts after a
 * reply. */
FkHeartbeatFreshness fk_failure_detector_heartbeat(FkFailureDetector *detector, FkHeartbeatSequence sequence,
                                                   double lease_s, FkTime now);
/* Records that a probe, which is a direct call with or without commands, was sent to the worker. */
void fk_failure_detector_probe_sent(FkFailureDetector *detector);
/* Records that the worker replied to the latest probe; `lease_s` as above. */
FkHeartbeatFreshness fk_failure_detector_probe_answered(FkFailureDetector *detector,
                                                        FkHeartbeatSequence sequence, double lease_s,
                                                        FkTime now);
/* Records that the worker didn't reply to the latest probe in time. */
void fk_failure_detector_probe_missed(FkFailureDetector *detector, FkTime now);
/* Records that this controller replied to the worker's newest heartbeat. */
void fk_failure_detector_reply_sent(FkFailureDetector *detector, FkTime now);
/* Records that the newest message echoes this controller's present fencing token. Returns whether it is the
 * first message to echo this token. */
gboolean fk_failure_detector_token_echoed(FkFailureDetector *detector, FkRev token, FkTime now);
/* Records that a message shows something that only a command of this controller can have caused. */
void fk_failure_detector_effect_seen(FkFailureDetector *detector);
/* Returns whether the worker may be gone or cut off. No new task is started on a suspected worker until it
 * replies. */
gboolean fk_failure_detector_is_suspected(const FkFailureDetector *detector);
/* Returns whether there is a one-way partition: the worker's heartbeats arrive, but this controller's probes
 * and replies don't reach it. */
gboolean fk_failure_detector_is_partitioned(const FkFailureDetector *detector, FkTime now);
/* Returns since when the worker hasn't been heard from: the last contact, or the start of the ownership. */
FkTime fk_failure_detector_silent_since(const FkFailureDetector *detector);
/* Returns the latest time at which the worker's lease may have been renewed. `trust_s`: seconds for which an
 * earlier owner may have gone on replying after this controller acquired the shard. */
FkTime fk_failure_detector_lease_start(const FkFailureDetector *detector, double trust_s);
