/* The failure detector for one worker tracks two separate facts: whether the worker is alive, and whether
 * the worker receives this controller's messages.
 *
 * The two facts must be tracked separately because of one-way partitions: a worker that receives nothing
 * still sends heartbeats, loses its lease again and again, reports no tasks, and is allocated new tasks that
 * never start. A heartbeat alone proves neither fact: it may be a copy of an old heartbeat, perhaps from an
 * earlier incarnation of the worker or sent to another controller. Proof is either a message that shows an
 * effect of this controller's messages or the reply to a probe that was just sent. One such effect is an echo
 * of a new fencing token: each message of a worker echoes the latest token that the worker has received.
 *
 * A worker begins a new incarnation when its lease expires because its heartbeats get no reply. After a
 * restart of the worker, incarnations and sequence numbers start over.
 *
 * The detector does no I/O and reads no clock: its caller passes in what was received and sent, and when. */
#pragma once
#include "common/types.h"

/* Incarnation and sequence number of a message from a worker. The message with the larger incarnation is
 * newer; within one incarnation, the message with the larger sequence number. After a restart of the worker
 * both numbers start over. */
typedef struct {
  guint64 incarnation, sequence;
} FkHeartbeatSequence;

static inline gboolean fk_heartbeat_sequence_after(FkHeartbeatSequence a, FkHeartbeatSequence b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence;
}

/* The evidence about one worker. A time is 0 if its event hasn't happened; a sequence is {0, 0} if no message
 * of its kind was received. */
typedef struct {
  FkTime owned_since; /* when this controller's present ownership of the worker began */
  /* ---- evidence of whether the worker is alive ---- */
  FkTime token_first_echoed_at; /* when a message first echoed one of this controller's fencing tokens after
                                   `owned_since` */
  FkRev token_echoed; /* the latest of this controller's fencing tokens that the worker echoed; 0 if none */
  FkTime last_contact_at; /* when the last message that proves the worker alive was received */
  FkTime last_replied_at; /* when this controller last accepted and replied to a heartbeat, 0 if not since
                             `owned_since` */
  guint64 replied_incarnation;          /* the worker's incarnation at `last_replied_at` */
  FkHeartbeatSequence newest_message;   /* the newest heartbeat or probe reply */
  FkHeartbeatSequence newest_heartbeat; /* the newest heartbeat, which a probe's reply may have overtaken */
  FkHeartbeatSequence newest_at_probe;  /* value of `newest_message` when the latest probe was sent */
  FkTime incarnation_started_at;        /* when the first message of the present incarnation was received; the
                                           incarnation began earlier */
  /* ---- evidence of whether the worker receives this controller's messages ---- */
  FkTime first_missed_at; /* when the first of `missed_probes` timed out; 0 if there is none */
  guint missed_probes;    /* number of probes missed since a message last showed that the worker receives
                             messages */
  guint replies_without_effect; /* number of replies to heartbeats since `first_missed_at`, none of which had
                                   a visible effect */
  gboolean lease_lapsed; /* the worker's lease expired although this controller had replied in time, and
                            no later message shows that the worker receives messages */
} FkFailureDetector;

/* How a message relates to the ones received before it. */
typedef enum {
  FK_HEARTBEAT_NEW,       /* the newest message, which shows the worker's present state */
  FK_HEARTBEAT_STALE,     /* older than the newest message, but not a duplicate; the sender of a stale
                             heartbeat awaits the reply */
  FK_HEARTBEAT_DUPLICATE, /* no newer than the newest heartbeat. The message is a copy, whose sender awaits
                             no reply, or the worker has restarted and its sequence numbers have started
                             over. Only a probe can distinguish the two cases */
  FK_HEARTBEAT_RESTARTED  /* a probe's reply, which proves that the sequence numbers have started over: the
                             worker has restarted */
} FkHeartbeatFreshness;

/* Records that this controller has become the owner of the worker's shard. */
void fk_failure_detector_acquired(FkFailureDetector *detector, FkTime now);
/* Records a received heartbeat. Returns FK_HEARTBEAT_NEW, _STALE or _DUPLICATE. `lease_s`: the shortest time
 * in seconds that the worker's lease lasts after a reply. */
FkHeartbeatFreshness fk_failure_detector_heartbeat(FkFailureDetector *detector, FkHeartbeatSequence sequence,
                                                   double lease_s, FkTime now);
/* Records that a probe, which is a direct call with or without commands, was sent to the worker. */
void fk_failure_detector_probe_sent(FkFailureDetector *detector);
/* Records the worker's reply to the latest probe. Returns FK_HEARTBEAT_NEW, _STALE or _RESTARTED. `lease_s`:
 * see fk_failure_detector_heartbeat. */
FkHeartbeatFreshness fk_failure_detector_probe_answered(FkFailureDetector *detector,
                                                        FkHeartbeatSequence sequence, double lease_s,
                                                        FkTime now);
/* Records that the worker didn't reply to the latest probe in time. */
void fk_failure_detector_probe_missed(FkFailureDetector *detector, FkTime now);
/* Records that this controller accepted a heartbeat and replied to it. The reply renews the worker's lease if
 * the reply arrives. */
void fk_failure_detector_reply_sent(FkFailureDetector *detector, FkTime now);
/* Records that the newest message, received now, echoes `token`, this controller's present fencing token.
 * Returns whether `token` differs from the latest token that was echoed before. */
gboolean fk_failure_detector_token_echoed(FkFailureDetector *detector, FkRev token, FkTime now);
/* Records that the newest message shows something that only a command of this controller can have caused. */
void fk_failure_detector_effect_seen(FkFailureDetector *detector);
/* Returns whether the worker may be gone or cut off: it has missed a probe, or its lease expired although
 * this controller had replied in time. A later message that shows that the worker receives messages ends the
 * suspicion. No new task is placed on a suspected worker. */
gboolean fk_failure_detector_is_suspected(const FkFailureDetector *detector);
/* Returns whether there is a one-way partition: the worker's heartbeats arrive, but this controller's probes
 * and replies don't reach the worker. */
gboolean fk_failure_detector_is_partitioned(const FkFailureDetector *detector, FkTime now);
/* Returns the time of the last contact with the worker, or of the start of this controller's ownership if
 * that is later. */
FkTime fk_failure_detector_silent_since(const FkFailureDetector *detector);
/* Returns the latest time at which the worker's present lease may have begun or been renewed. `trust_s`:
 * seconds for which an earlier owner may have gone on replying after this controller acquired the shard. */
FkTime fk_failure_detector_lease_start(const FkFailureDetector *detector, double trust_s);
