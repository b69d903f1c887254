/* When a cancellation may be told (src/core/tell.c; docs/design.md, "Cancellation"). One task on one machine, two
 * controllers. A controller's view is as old as it likes: a cut is a view that isn't renewed, and reports that don't come.
 * Homes answer reports while their view was current less than TRUST ago, in steps of a clock; a controller crashes, claims are
 * taken over, a later home releases by the lease. From the moment that the user is told, the task must be gone within CANCEL.
 * Times are ages, which stand still once they make no more difference.
 *
 * Guards can be taken out, and then the model must fail: -DNO_WAIT (told once committed), -DONE_KNOWS (told when the
 * teller alone knows), -DNO_TOKEN (a home's own knowledge is enough although its token wasn't shown), -DSHORT_PROOF (a
 * later home's proof by lease reckons with a trust that doesn't include the wait), -DNO_CLAIM (a release isn't guarded). */

#define LEASE 2
#define CANCEL 3
#define WAIT 2 /* tell_after_s */
#define TRUST (CANCEL - LEASE + WAIT)
#define CLAIMS 4
#define CRASHES 1

#ifdef SHORT_PROOF
#define EARLIER (CANCEL - LEASE)
#else
#define EARLIER TRUST
#endif
#ifdef NO_CLAIM
#define GUARD_CLAIM true
#else
#define GUARD_CLAIM (sees[i] == claim)
#endif
#define QUIET (LEASE + TRUST + 1)

/* the store */
byte claim = 2; /* its revision, the token: odd: controller 1's, even: controller 0's */
bool cancelled;

/* the machine */
bool running = true;
byte lease;     /* since the last answered report */
byte baton = 2; /* the highest token seen */

/* the controllers */
bool ready[2];
byte age[2];   /* of the view */
byte sees[2];  /* the claim */
byte from[2];  /* the claims before this one were an earlier life's */
bool knows[2]; /* of the cancellation */
byte known[2]; /* since then */
byte quiet[2]; /* since the last answer under the claim that it sees, or since it saw that claim */
bool shown[2]; /* the machine has shown that claim's token */
bool said[2];  /* it has told the other that it knows */
byte crashes;

bool released;
bool told;
byte since_told;

#define MINE(i) (ready[i] && sees[i] % 2 == i && sees[i] >= from[i])
#define CURRENT(i) (ready[i] && age[i] < TRUST)

inline older(what, most) {
  if
  :: what < most -> what++
  :: else
  fi
}

proctype controller(byte i) {
  do
  :: d_step { /* looks at the store */
      ready[i] = true;
      age[i] = 0;
      if
      :: sees[i] != claim -> sees[i] = claim; quiet[i] = 0; shown[i] = false
      :: else
      fi;
      if
      :: cancelled && !knows[i] -> knows[i] = true; known[i] = 0
      :: else
      fi
    }
  :: d_step { /* ends, and starts anew */
      ready[i] && crashes < CRASHES ->
      crashes++;
      ready[i] = false; knows[i] = false; shown[i] = false;
      sees[i] = 0; age[i] = 0; known[i] = 0; quiet[i] = 0;
      from[i] = claim + 1
    }
  :: d_step { /* claims it, from the other or anew in this life */
      ready[i] && sees[i] == claim && !MINE(i) && claim < CLAIMS ->
      claim = claim + 1 + (claim % 2 == i)
    }
  :: d_step { /* a report comes, and is answered; under an old token the machine doesn't mind the answer */
      MINE(i) && CURRENT(i) && baton <= sees[i] ->
      baton = sees[i];
      if
      :: knows[i] -> running = false
      :: else -> lease = 0
      fi;
      quiet[i] = 0;
      shown[i] = true
    }
  :: d_step { /* proof by the lease, guarded by the claim: of an earlier home's answers too, while the machine hasn't shown our token */
      MINE(i) && CURRENT(i) && GUARD_CLAIM && !released && quiet[i] > LEASE + (shown[i] -> 0 : EARLIER) ->
      released = true;
      assert(!running)
    }
  :: d_step { ready[i] && knows[i] && !said[i] -> said[i] = true }
  :: d_step { /* tells the user */
      (!told && ready[i] && knows[i]
#ifndef NO_WAIT
#ifndef ONE_KNOWS
      && (said[1 - i] || known[i] >= WAIT ||
#ifdef NO_TOKEN
          MINE(i)
#else
          (MINE(i) && shown[i])
#endif
         )
#endif
#endif
      ) -> told = true
    }
  od
}

proctype user() {
  cancelled = true
}

proctype clock() {
  do
  :: d_step {
      older(age[0], TRUST); older(age[1], TRUST);
      older(quiet[0], QUIET); older(quiet[1], QUIET);
      if
      :: knows[0] -> older(known[0], WAIT)
      :: else
      fi;
      if
      :: knows[1] -> older(known[1], WAIT)
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
  atomic { run controller(0); run controller(1); run user(); run clock() }
}
