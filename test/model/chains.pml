/* Job chains (docs/design.md, "Chains"): A, then B that needs A, then C that needs B. Controllers 0 and 1, each with a view of any
 * age; controller 1 is of the version before until it is killed at its turn, knows of no dependencies, and begins old again when
 * it dies early. B and C are accepted by transactions that may be carried out late; A is cancelled or ends; B ends once it has run.
 * A life begins with what lives: ends from before it are unknown until they are read. Users ask about C at both controllers, at
 * once after anybody was told anything. Rules: no task starts before what it needs is done; C is never called queued to a question
 * that came after it was called withdrawn, nor accepted and then lost; a job that ran isn't withdrawn.
 *
 * Guards can be taken out, and then the model must fail: -DNO_HELD (what isn't known to be over is taken for done), -DNO_SETTLE (an
 * answer doesn't wait for the view), -DNO_READ (whose end isn't known is taken for live in an answer), -DNO_FENCE (accepted while
 * one controller may be old). That a cancellation reaches everybody in time is the schedules' to check (orphaned). */

#define N 2
mtype = { absent, live, cancelled, ended, over } /* over: done; ended: cancelled, and its record has gone */

mtype A = live, B = absent, C = absent; /* the store */
bool fence_new[N];                      /* the fence's writer knows of chains */

typedef View { mtype a, b, c; bool a_known, b_known }
View v[N];
bool old[N], up[N], rolled;
bool sent_b, sent_c; /* accepts on their way */
bool ran_b, ran_c;
bool told_c; /* withdrawn */
bool asked[N], after_told[N], fresh[N];

#define GONE(s) ((s) == ended || (s) == over)
#define WITHDRAWN_B(i) (v[i].b == cancelled || (v[i].b == live && (v[i].a == cancelled || (v[i].a == ended && v[i].a_known))) || (v[i].b == ended && v[i].b_known))
#define WITHDRAWN_C(i) WITHDRAWN_B(i)
#ifdef NO_HELD
#define DONE_A(i) (GONE(v[i].a) || v[i].a == live)
#else
#define DONE_A(i) (v[i].a == over && v[i].a_known)
#endif
#define DONE_B(i) (v[i].b == over && v[i].b_known)
/* everything that C needs, directly or through others, is known or lives */
#ifdef NO_READ
#define SURE_C(i) true
#else
#define SURE_C(i) (!(GONE(v[i].b) && !v[i].b_known) && !(v[i].b == live && GONE(v[i].a) && !v[i].a_known))
#endif
#ifdef NO_FENCE
#define ALL_KNOW true
#else
#define ALL_KNOW (fence_new[0] && fence_new[1])
#endif

/* the view moves to what the store has now; what ends from here on is seen to end */
inline look(i) {
  if
  :: GONE(A) && !GONE(v[i].a) -> v[i].a_known = true
  :: else
  fi;
  if
  :: GONE(B) && !GONE(v[i].b) -> v[i].b_known = true
  :: else
  fi;
  v[i].a = A; v[i].b = B; v[i].c = C;
  fresh[i] = true
}

inline begins(i) {
  v[i].a = A; v[i].b = B; v[i].c = C;
  v[i].a_known = false; v[i].b_known = false;
  asked[i] = false; after_told[i] = false; fresh[i] = false
}

proctype controller(byte i) {
  do
  :: atomic { up[i] -> look(i) }
  :: atomic { up[i] -> up[i] = false; asked[i] = false; after_told[i] = false }
  :: atomic { !up[i] -> up[i] = true; begins(i); if :: !old[i] -> fence_new[i] = true :: else fi }
  /* an end from before this life is read */
  :: atomic { up[i] && !old[i] && GONE(v[i].a) && !v[i].a_known -> v[i].a_known = true }
  :: atomic { up[i] && !old[i] && GONE(v[i].b) && !v[i].b_known -> v[i].b_known = true }
  /* accepts: the users ask for chains from the first moment, whatever they were told */
  :: atomic { up[i] && !old[i] && ALL_KNOW && !sent_b && B == absent -> sent_b = true }
  :: atomic { up[i] && !old[i] && ALL_KNOW && !sent_c && C == absent && v[i].b != absent -> sent_c = true }
  /* launches: held jobs don't wait; a version that knows of no dependencies holds nobody */
  :: atomic { up[i] && v[i].b == live && B == live && !ran_b && (old[i] || (DONE_A(i) && !WITHDRAWN_B(i))) ->
       ran_b = true; assert(A == over) }
  :: atomic { up[i] && v[i].c == live && C == live && !ran_c && (old[i] || (DONE_B(i) && !WITHDRAWN_C(i))) ->
       ran_c = true; assert(B == over) }
  /* the sweep: a withdrawn job's record goes, and its final comes */
  :: atomic { up[i] && !old[i] && B == live && WITHDRAWN_B(i) -> assert(!ran_b); B = ended }
  /* a question about C: the store is compared with, then the view answers */
  :: atomic { up[i] && !old[i] && !asked[i] && C == live -> asked[i] = true; after_told[i] = told_c; fresh[i] = false }
  :: atomic { asked[i] && v[i].c == live && WITHDRAWN_C(i) -> asked[i] = false; told_c = true; assert(!ran_c) }
#ifdef NO_SETTLE
  :: atomic { asked[i] && v[i].c == live && !WITHDRAWN_C(i) && SURE_C(i) -> asked[i] = false; assert(!after_told[i]) }
#else
  :: atomic { asked[i] && fresh[i] && v[i].c == live && !WITHDRAWN_C(i) && SURE_C(i) -> asked[i] = false; assert(!after_told[i]) }
#endif
  od
}

proctype store() {
  do
  :: atomic { A == live -> A = cancelled }
  :: atomic { A == live -> A = over }
  :: atomic { A == cancelled -> A = ended }
  :: atomic { B == live && ran_b -> B = over }
  /* late or at once; each guarded by the absence of record and final */
  :: atomic { sent_b && B == absent -> B = live }
  :: atomic { sent_c && C == absent && B != absent -> C = live }
  /* the roll: the old process is killed, and comes back new */
  :: atomic { !rolled -> rolled = true; up[1] = false; asked[1] = false; after_told[1] = false; old[1] = false }
  od
}

init {
  atomic {
    old[1] = true; up[0] = true; up[1] = true; fence_new[0] = true;
    v[0].a = live; v[0].b = absent; v[0].c = absent;
    v[1].a = live; v[1].b = absent; v[1].c = absent;
    run controller(0); run controller(1); run store()
  }
}
