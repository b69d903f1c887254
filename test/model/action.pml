/* One action by Remote Execution, from Execute to its one final answer (docs/design.md, "Actions"). Two controllers, two
 * machines; every step of a controller rests on what it last saw of the store, which may be long out of date, so an
 * unanswered transaction that applies late is the same as one made late from an old view. Workers fail, exits are
 * reported late and again, homes change, controllers crash and start anew, clients execute the same action twice and
 * cancel it.
 *
 * Guards can be taken out, and then the model must fail: -DNO_OP, -DNO_JOB, -DNO_CHUNK, -DNO_PROOF. */

#define MACHINES 2
#define ATTEMPTS 2
#define CLAIMS 2
#define NOTHING 0
#define DONE 1
#define CANCELLED 2

/* the store */
byte op;        /* the job that serves the action, 0: none */
byte jobs;      /* that were ever accepted for it */
byte job_rev;   /* of the job's record */
byte chunk_rev; /* of its chunk */
byte claim = 1; /* the claim's revision: the token; odd: controller 0's, even: controller 1's */
byte booked, booked_on, attempts;
byte result;    /* the attempt whose result was committed */
byte final;
bool accepted;  /* some client was told so */

/* the machines */
byte on[MACHINES];     /* the attempt that is there */
byte exited[MACHINES]; /* done, and not yet forgotten */
byte baton[MACHINES];  /* the highest token seen */
bool gone[MACHINES];   /* returned, or its session is over: no start for it counts any more */
byte executions;       /* attempts that came to their end */

/* what clients were told */
byte told;
byte told_result;

#ifdef NO_OP
#define GUARD_OP true
#else
#define GUARD_OP (op == 0)
#endif
#ifdef NO_JOB
#define GUARD_JOB true
#else
#define GUARD_JOB (job_rev == v_job)
#endif
#ifdef NO_CHUNK
#define GUARD_CHUNK true
#else
#define GUARD_CHUNK (chunk_rev == v_chunk && claim == v_claim)
#endif
#ifdef NO_PROOF
#define PROOF true
#else
#define PROOF gone[v_on]
#endif

proctype controller(byte me) {
  byte v_op, v_job, v_chunk, v_claim, v_booked, v_on, v_final, m;
  bool seen;
  do
  :: atomic { /* look at the store; also after a crash, which forgets all else */
       v_op = op; v_job = job_rev; v_chunk = chunk_rev; v_claim = claim;
       v_booked = booked; v_on = booked_on; v_final = final; seen = true
     }
  :: seen -> seen = false /* crash */
  :: atomic { /* Execute: the operation's record, the job's and its chunk's at once */
       seen && v_op == 0 && v_final == NOTHING && jobs < 2 ->
       if
       :: GUARD_OP && final == NOTHING -> jobs++; op = jobs; job_rev++; chunk_rev++; accepted = true
       :: else -> skip
       fi
     }
  :: atomic { /* launch */
       seen && v_op > 0 && v_booked == 0 && v_final == NOTHING && attempts < ATTEMPTS ->
       if
       :: GUARD_JOB && GUARD_CHUNK -> attempts++; booked = attempts; chunk_rev++;
          if
          :: booked_on = 0
          :: booked_on = 1
          fi
       :: else -> skip
       fi
     }
  :: atomic { /* the home commands the start; the machine drops what has a lower token */
       seen && v_booked > 0 && v_claim % 2 != me && baton[v_on] <= v_claim && !gone[v_on] && on[v_on] == 0 &&
       exited[v_on] != v_booked && v_final == NOTHING ->
       baton[v_on] = v_claim; on[v_on] = v_booked
     }
  :: atomic { /* an exit is reported: result and end in one transaction */
       seen && v_booked > 0 && exited[v_on] == v_booked && v_final == NOTHING ->
       if
       :: GUARD_JOB && GUARD_CHUNK ->
          assert(result == 0);
          result = v_booked; booked = 0; chunk_rev++; job_rev++; final = DONE; op = 0
       :: else -> skip
       fi
     }
  :: atomic { /* released on proof that the attempt isn't there and can't be: a newer session, the cloud's word */
       seen && v_booked > 0 && PROOF ->
       if
       :: GUARD_CHUNK -> booked = 0; chunk_rev++
       :: else -> skip
       fi
     }
  :: atomic { /* Cancel */
       seen && v_op > 0 && v_final == NOTHING ->
       if
       :: GUARD_JOB -> job_rev++; final = CANCELLED; op = 0
       :: else -> skip
       fi
     }
  :: atomic { claim < CLAIMS && claim % 2 == me -> claim++ } /* takes the machines over */
  :: atomic { /* a client is told what the store says is over */
       final != NOTHING ->
       assert(told == NOTHING || (told == final && told_result == result));
       told = final; told_result = result
     }
  :: final != NOTHING && told != NOTHING -> break
  od
}

proctype machine(byte me) {
  do
  :: atomic { on[me] > 0 -> exited[me] = on[me]; on[me] = 0; executions++ } /* it ends, and is remembered */
  :: atomic { !gone[me] -> gone[me] = true; on[me] = 0; exited[me] = 0 } /* its lease is over, or it is dead */
  :: atomic { exited[me] > 0 && booked != exited[me] -> exited[me] = 0 } /* forgotten, once it counts no more */
  :: final != NOTHING && on[me] == 0 -> break
  :: gone[me] -> break
  od
}

/* At every moment: an accepted action is under way or over; one job at a time and one attempt at a time serve it; a
 * result stands only with its answer. */
active proctype always() {
  do
  :: atomic { accepted && op == 0 && final == NOTHING -> assert(false) }
  :: atomic { jobs > 1 -> assert(false) }
  :: atomic { on[0] > 0 && on[1] > 0 -> assert(false) }
  :: atomic { result > 0 && final != DONE -> assert(false) }
  :: final != NOTHING -> break
  :: timeout -> break
  od
}

init {
  atomic {
    run controller(0); run controller(1);
    run machine(0); run machine(1)
  }
}
