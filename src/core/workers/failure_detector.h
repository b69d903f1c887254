/* What is known of one machine: that it speaks, and that it hears. The two are different facts: one whose
 * answers are lost reports on, loses its lease again and again, looks empty, and takes launches that never
 * start. A report by itself proves neither: it may be a copy of any age, told to any controller, in any of
 * its lives. What proves something is what shows an effect of ours, and the answer to a question that was
 * asked just now. Pure; the owner says what came and what was sent. */
#pragma once
#include "core/types.h"

/* A message of the machine's own count: the larger is the newer, within one life of the machine. */
typedef struct {
  guint64 incarnation, sequence;
} FkHeartbeatSequence;

static inline gboolean fk_heartbeat_sequence_after(FkHeartbeatSequence a, FkHeartbeatSequence b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.sequence > b.sequence;
}

typedef struct {
  FkTime owned_since;           /* this stretch of ours as its home began */
  FkTime token_first_echoed_at; /* when a message first showed a token of this stretch; 0: none has */
  FkRev token_echoed;           /* the latest of our tokens that it has shown */
  FkTime last_heard_at;         /* when something that proves it alive came last */
  FkTime last_replied_at;       /* when we last answered a report of this stretch; 0: never */
  guint64 replied_incarnation;
  FkHeartbeatSequence newest_message; /* the newest message, and ... */
  FkHeartbeatSequence
      newest_heartbeat; /* ... the newest report: an answer to a question may overtake a report */
  FkHeartbeatSequence newest_at_probe; /* what was the newest when the question under way was put */
  FkTime incarnation_began;            /* the present session began before this */
  /* Whether it hears us. */
  FkTime
      first_missed_at; /* the first of the questions in a row that it hasn't answered was given up; 0: none */
  guint missed_probes; /* how many there are */
  guint replies_without_effect; /* reports answered since then without an effect */
  gboolean lease_lapsed;        /* its lease ran out although we answered in time */
} FkFailureDetector;

typedef enum {
  FK_HEARTBEAT_NEW,       /* the machine's present state, as far as anybody knows */
  FK_HEARTBEAT_STALE,     /* true, and older than what is known; who sent it waits for an answer */
  FK_HEARTBEAT_DUPLICATE, /* nobody waits for an answer; or the machine has begun anew: only a question can
                             tell */
  FK_HEARTBEAT_RESTARTED  /* the answer to a question shows that its count began anew: so did the machine */
} FkHeartbeatFreshness;

/* We are home to it from now on, after not having been. */
void fk_failure_detector_acquired(FkFailureDetector *e, FkTime now);
/* A report has come. `lease_s`: the shortest that its lease lasts after an answer. */
FkHeartbeatFreshness fk_failure_detector_heartbeat(FkFailureDetector *e, FkHeartbeatSequence at,
                                                   double lease_s, FkTime now);
/* A question is asked, or orders are sent, straight to it. */
void fk_failure_detector_probe_sent(FkFailureDetector *e);
/* It has answered that. */
FkHeartbeatFreshness fk_failure_detector_probe_answered(FkFailureDetector *e, FkHeartbeatSequence at,
                                                        double lease_s, FkTime now);
/* It hasn't in time. */
void fk_failure_detector_probe_missed(FkFailureDetector *e, FkTime now);
/* We have answered its latest report. */
void fk_failure_detector_replied(FkFailureDetector *e, FkTime now);
/* A message that is the newest shows our claim's token. Returns TRUE when it is the first to do so. */
gboolean fk_failure_detector_token_echoed(FkFailureDetector *e, FkRev claim, FkTime now);
/* Something that only orders of ours can have brought about shows. */
void fk_failure_detector_effect_seen(FkFailureDetector *e);
/* Nothing new goes there until it answers. */
gboolean fk_failure_detector_is_suspected(const FkFailureDetector *e);
/* It speaks, and doesn't hear: questions and answers are lost on the way to it. */
gboolean fk_failure_detector_is_partitioned(const FkFailureDetector *e, FkTime now);
/* Since when it has been quiet. */
FkTime fk_failure_detector_silent_since(const FkFailureDetector *e);
/* The moment from which a lease that nobody renews runs. `trust_s`: how long an earlier home may have gone on
 * answering after our claim. */
FkTime fk_failure_detector_lease_from(const FkFailureDetector *e, double trust_s);
