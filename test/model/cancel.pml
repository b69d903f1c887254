/* When a cancellation may be told (src/core/tell.c; docs/design.md, "Cancellation"). One task on one machine, two
 * controllers. A controller's view is as old as it likes: a cut is a view that isn't renewed, and reports that don't come.
 * Homes answer reports while their view was current less than TRUST ago, in steps of a discrete clock; controllers crash,
 * take the claim over, release by the lease. From the moment that the user is told, the task must be gone within CANCEL.
 *
 * Guards can be taken out, and then the model must fail: -DNO_WAIT (told once committed), -DONE_KNOWS (told when the
 * teller alone knows), -DNO_TOKEN (a home's own knowledge is enough although its token wasn't shown), -DSHORT_PROOF (a
 * later home's proof by lease reckons with a trust that doesn't include the wait). */

#define LEASE 2
#define CANCEL 3
#define WAIT 2                        /* tell_after_s */
#define TRUST (CANCEL - LEASE + WAIT)
#define END 9

#ifdef SHORT_PROOF
#define EARLIER (CANCEL - LEASE)
#else
#define EARLIER TRUST
#endif

byte now = 1;

/* the store */
byte claim = 2; /* its revision, the token: odd: controller 1's, even: controller 0's */
bool cancelled;

/* the machine */
bool running = true;
byte base = 1;  /* its lease counts from here */
byte baton = 2; /* the highest token seen */

/* the controllers */
bool ready[2];
byte current[2]; /* their view was, then */
byte sees[2];    /* the claim */
byte since[2];   /* when the view first showed it */
byte from[2];    /* the claims before this one were an earlier life's */
bool knows[2];   /* of the cancellation */
byte known_at[2];
byte answered[2]; /* when, under the claim that it sees; 0: never */
bool shown[2];    /* the machine has shown that claim's token */
bool said[2];     /* it has told the other that it knows */

bool released;
bool told;
byte told_at;

#define MINE(i) (ready[i] && sees[i] % 2 == i && sees[i] >= from[i])
#define CURRENT(i) (ready[i] && now - current[i] < TRUST)

inline look(i) {
  if
  :: sees[i] != claim ->
    sees[i] = claim; since[i] = now; answered[i] = 0; shown[i] = false
  :: else
  fi;
  if
  :: cancelled && !knows[i] -> knows[i] = true; known_at[i] = now
  :: else
  fi;
  ready[i] = true;
  current[i] = now
}

proctype controller(byte i) {
  do
  :: d_step { now < END -> look(i) }
  :: d_step { ready[i] && now < END -> ready[i] = false; knows[i] = false; sees[i] = 0; from[i] = claim + 1 } /* crash */
  :: d_step { /* claims it, from the other or anew in this life */
      ready[i] && sees[i] == claim && !MINE(i) && claim < 5 ->
      claim = claim + 1 + (claim % 2 == i)
    }
  :: d_step { /* a report comes, and is answered; under an old token the machine doesn't mind the answer */
      MINE(i) && CURRENT(i) && baton <= sees[i] ->
      baton = sees[i];
      if
      :: knows[i] -> running = false
      :: else -> base = now
      fi;
      answered[i] = now;
      shown[i] = true
    }
  :: d_step { /* proof by the lease: of an earlier home's answers too, while the machine hasn't shown our token */
      MINE(i) && CURRENT(i) && !released &&
      now > LEASE + (answered[i] -> answered[i] : since[i] + EARLIER) ->
      released = true;
      assert(!running)
    }
  :: d_step { ready[i] && knows[i] -> said[i] = true }
  :: d_step { /* tells the user */
      (!told && ready[i] && knows[i]
#ifndef NO_WAIT
#ifndef ONE_KNOWS
      && (said[1 - i] || now - known_at[i] >= WAIT ||
#ifdef NO_TOKEN
          MINE(i)
#else
          (MINE(i) && shown[i])
#endif
         )
#endif
#endif
      ) -> told = true; told_at = now
    }
  :: now >= END -> break
  od
}

proctype user() {
  cancelled = true
}

proctype clock() {
  do
  :: d_step {
      now < END -> now++;
      if
      :: running && now - base > LEASE -> running = false
      :: else
      fi;
      assert(!(running && told && now - told_at > CANCEL))
    }
  :: now >= END -> break
  od
}

init {
  atomic { run controller(0); run controller(1); run user(); run clock() }
}
