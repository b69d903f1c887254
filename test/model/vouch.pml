/* Store refusal, then an outage (docs/combined-faults.md): the store refuses the home alone, others confirm a cancellation, the store
 * is down for all, and the home's workers go on reporting to it. One task on a machine of controller 0, whose last look at the
 * store is over; 1 and 2 are its peers, which look whenever they like, or never again: an outage of any length. Nobody can claim
 * anything. The home goes on while its view was current less than TRUST ago, by that look, or because every peer said, in the
 * life that its view knows, that it has seen nothing later; questions and answers are on their way for as long as they like.
 * All are asked by users all the time. From the moment that a user is told, the task must be gone within CANCEL.
 *
 * Guards can be taken out, and then the model must fail: -DNO_WAIT (told once it is seen), -DONE_VOUCHES (one peer is enough),
 * -DNO_LIFE (a peer that began anew may vouch), -DNO_SEEN (a peer vouches whatever it has seen), -DFROM_ANSWER (proof counts
 * from the answer, not from the question), -DLONG_TRUST (the home trusts its view for longer). */

#define LEASE 1
#define CANCEL 2
#define WAIT 2 /* tell_after_s */
#ifdef LONG_TRUST
#define TRUST (CANCEL - LEASE + WAIT + 2) /* a step of the clock is what can be told apart */
#else
#define TRUST (CANCEL - LEASE + WAIT)
#endif
#define OLD (TRUST + 1)

bool cancelled;
bool running = true;
byte lease;
byte age; /* of the home's view */
bool ready[3] = true;
bool knows[3]; /* its view has the cancellation */
bool heard[3]; /* it had the answer to its own commit */
byte known[3]; /* since its view has it */
bool anew[3];  /* it is in a life that the home's view doesn't know */
byte asked[3]; /* 0: nothing, 1: a question is under way, 2: a good answer is */
byte since[3]; /* the question */
byte proof[3] = OLD;
bool told;
byte since_told;

inline older(what, most) {
  if
  :: what < most -> what++
  :: else
  fi
}

#ifdef ONE_VOUCHES
#define PROOF (proof[1] < TRUST || proof[2] < TRUST)
#else
#define PROOF (proof[1] < TRUST && proof[2] < TRUST)
#endif
#ifdef NO_LIFE
#define SAME_LIFE(p) true
#else
#define SAME_LIFE(p) (!anew[p])
#endif
#ifdef NO_SEEN
#define SEEN_LATER(p) false
#else
#define SEEN_LATER(p) (knows[p] || heard[p])
#endif

proctype peer(byte p) {
  do
  :: d_step { /* looks at the store */
      !ready[p] || (cancelled && !knows[p]) ->
      ready[p] = true;
      if
      :: cancelled && !knows[p] -> knows[p] = true; known[p] = 0
      :: else
      fi
    }
  :: d_step { !cancelled && ready[p] -> cancelled = true }               /* a user's request is carried out ... */
  :: d_step { cancelled && ready[p] && !heard[p] -> heard[p] = true } /* ... and answered, whoever asked */
  :: d_step { /* ends, and starts anew */
      !anew[p] && !anew[3 - p] ->
      anew[p] = true;
      ready[p] = false; knows[p] = false; heard[p] = false; known[p] = 0
    }
  :: d_step { /* answers the home's question */
      asked[p] == 1 ->
      if
      :: SAME_LIFE(p) && !SEEN_LATER(p) -> asked[p] = 2
      :: else -> asked[p] = 0; since[p] = 0
      fi
    }
  :: d_step { /* tells the user */
      (!told && ready[p] && knows[p]
#ifndef NO_WAIT
      && known[p] >= WAIT
#endif
      ) -> told = true
    }
  od
}

proctype home() {
  do
  :: d_step { running && (age < TRUST || PROOF) && lease -> lease = 0 } /* a report comes, and is answered */
  :: d_step { asked[1] == 0 -> asked[1] = 1; since[1] = 0 }
  :: d_step { asked[2] == 0 -> asked[2] = 1; since[2] = 0 }
#ifdef FROM_ANSWER
  :: d_step { asked[1] == 2 -> proof[1] = 0; asked[1] = 0; since[1] = 0 }
  :: d_step { asked[2] == 2 -> proof[2] = 0; asked[2] = 0; since[2] = 0 }
#else
  :: d_step { asked[1] == 2 -> proof[1] = since[1]; asked[1] = 0; since[1] = 0 }
  :: d_step { asked[2] == 2 -> proof[2] = since[2]; asked[2] = 0; since[2] = 0 }
#endif
  od
}

proctype clock() {
  do
  :: d_step {
      older(age, OLD);
      older(proof[1], OLD); older(proof[2], OLD);
      if
      :: asked[1] -> older(since[1], OLD)
      :: else
      fi;
      if
      :: asked[2] -> older(since[2], OLD)
      :: else
      fi;
      if
      :: knows[1] -> older(known[1], WAIT)
      :: else
      fi;
      if
      :: knows[2] -> older(known[2], WAIT)
      :: else
      fi;
      if
      :: running && lease == LEASE -> running = false; lease = 0
      :: running && lease < LEASE -> lease++
      :: else
      fi;
      if
      :: told -> older(since_told, CANCEL + 1)
      :: else
      fi;
      assert(!(running && since_told > CANCEL))
    }
  od
}

init {
  atomic { run peer(1); run peer(2); run home(); run clock() }
}
