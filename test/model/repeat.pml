/* Copies and repeats (src/core/home.c, evidence.c; docs/design.md, "Reports prove little"). One task, booked on a machine
 * by attempt 1; once that is released, attempt 2 runs elsewhere. A start that was sent straight to the machine may
 * arrive at any later time, and as often as it likes, as long as token and session stand; a report may come again at
 * any later time. The task must never be on both machines.
 *
 * Guards can be taken out, and then the model must fail: -DNO_KEEP (an ended attempt is forgotten though its start may
 * come again), -DNO_ORDER (a copy is taken for the present state), -DNO_TOKEN (what doesn't show the present token is
 * judged by), -DNO_UNSURE (not listed is proof though a start may be under way). */

#define CLAIMS 3
#define SESSIONS 2
#define REPORTS 4

/* what the machine says of attempt 1 */
#define NONE 0
#define RUNS 1
#define ENDED 2

#define SENT(t, s) (sent & (1 << ((t) * 3 + (s))))

byte claim = 1;

/* the machine */
byte baton;
byte session = 1;
byte state = NONE;

/* reports, each as it was sent */
byte n;
byte r_state[REPORTS];
byte r_baton[REPORTS];
byte r_session[REPORTS];

/* the home */
short sent;        /* starts, by token and session */
byte taken;        /* the newest report + 1 */
byte is = NONE;    /* what it says */
byte shows;        /* the token that it shows */
byte at = 1;       /* its session */
bool leaving;
bool released;

bool elsewhere;

#ifdef NO_TOKEN
#define SHOWN true
#else
#define SHOWN (taken && shows == claim)
#endif
#ifdef NO_UNSURE
#define UNDER_WAY false
#else
#define UNDER_WAY SENT(claim, at)
#endif
#ifdef NO_KEEP
#define MAY_COME_AGAIN false
#else
#define MAY_COME_AGAIN SENT(claim, at)
#endif

inline take(k) {
  taken = k + 1;
  is = r_state[k];
  shows = r_baton[k];
  at = r_session[k]
}

active proctype world() {
  byte k;
  do
  /* the machine */
  :: atomic { n < REPORTS -> r_state[n] = state; r_baton[n] = baton; r_session[n] = session; n++ }
  :: atomic { baton < claim -> baton = claim } /* by an answer */
  :: atomic { state == RUNS -> state = ENDED }
  :: atomic { session < SESSIONS -> session++; state = NONE } /* its lease is over */
  /* a start arrives, for the first time or once more */
  :: atomic { SENT(1, session) && baton <= 1 -> baton = 1; if :: state == NONE -> state = RUNS :: else fi }
  :: atomic { SENT(2, session) && baton <= 2 -> baton = 2; if :: state == NONE -> state = RUNS :: else fi }
  :: atomic { SENT(3, session) && baton <= 3 -> baton = 3; if :: state == NONE -> state = RUNS :: else fi }
  /* the home: a report, or a copy of one of any age */
  :: atomic { n > 0 -> select (k : 0 .. n - 1);
       if
#ifdef NO_ORDER
       :: true -> take(k)
#else
       :: k + 1 > taken -> take(k)
       :: else
#endif
       fi; k = 0 }
  :: atomic { !released && !leaving && is == NONE -> sent = sent | (1 << (claim * 3 + at)) }
  :: atomic { !leaving -> leaving = true }
  :: atomic { leaving && baton == claim && state == RUNS -> state = ENDED } /* its stop */
  :: atomic { SHOWN && is == ENDED && !released -> released = true }
  :: atomic { SHOWN && leaving && is == NONE && !UNDER_WAY && !released -> released = true }
  :: atomic { released && SHOWN && is == ENDED && !MAY_COME_AGAIN && baton == claim && state == ENDED -> state = NONE }
  :: atomic { claim < CLAIMS -> claim++ }
  /* elsewhere */
  :: atomic { released && !elsewhere -> elsewhere = true }
  :: else -> break
  od
}

active proctype rule() {
  assert(!(elsewhere && state == RUNS))
}
