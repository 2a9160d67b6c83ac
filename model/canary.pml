/* SPDX-License-Identifier: BSD-3-Clause
 *
 * A canary release: leaders order steps in a log, daemons follow what is applied, and the
 * former version's upstreams end once the canary is completed.
 *
 * That there is one log is shown in rollout.pml, so it is one sequence here. Two leaders may
 * believe that they lead: each decides on what it has seen, which may be long past. Daemons
 * learn of steps late and in any order, confirm those that they follow, and are restarted
 * without memory; a new start learns what a quorum has confirmed before it serves.
 *
 * Compile with -D of one of these for a mistake that the checker must find:
 *   UNCHECKED_STEP   a step is applied whatever state it was decided on
 *   OLDER_PLAN       a daemon follows an older plan than it has
 *   NO_CONFIRMATION  a canary is completed before all daemons send it everything
 *   FORMER_STEP      a confirmation of a step before counts for the last one
 *   NO_FLOOR         a restarted daemon serves before it knows the plan
 * and with -DREACHED to see that a canary is completed under the second leader after a
 * daemon was restarted.
 */

#define LEADERS 2
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef STEPS
#define STEPS 4
#endif

#define TRIAL 0
#define FULL 1
#define COMPLETED 2
#define ROLLED_BACK 3
#define ENDED(p) ((p) >= COMPLETED)

typedef Leader {
  byte step;                 /* the last one that it has seen applied */
  byte phase;
  byte confirmed[DAEMONS];   /* the newest step that each daemon has confirmed to it */
};
typedef Daemon {
  byte step;                 /* of the plan that it follows */
  byte phase;
  bool serves;
  bool restarted;
};

Leader leader[LEADERS];
Daemon daemon[DAEMONS];
/* The applied state, and the phase of each step. */
byte applied_step;
byte applied_phase;
byte phase_of[STEPS + 1];
bool by_second;

/* A daemon that serves may send requests to the former version. */
#define SENDS_FORMER(d) (daemon[d].serves && daemon[d].phase == TRIAL)
#define SENDS_CANARY(d) (daemon[d].serves && (daemon[d].phase == TRIAL || daemon[d].phase == FULL))

#ifdef UNCHECKED_STEP
#define MAY_APPLY(on_step) true
#else
#define MAY_APPLY(on_step) ((on_step) == applied_step && !ENDED(applied_phase))
#endif
#ifdef OLDER_PLAN
#define IS_NEWER(d, at) true
#else
#define IS_NEWER(d, at) ((at) > daemon[d].step)
#endif
#ifdef FORMER_STEP
#define HAS_CONFIRMED(l, d) (leader[l].confirmed[d] + 1 >= leader[l].step)
#else
#define HAS_CONFIRMED(l, d) (leader[l].confirmed[d] >= leader[l].step)
#endif

inline apply(on_step, to_phase) {
  if
  :: applied_step < STEPS && MAY_APPLY(on_step) ->
     assert(!ENDED(applied_phase));
     applied_step++;
     applied_phase = to_phase;
     phase_of[applied_step] = to_phase;
     if
     :: to_phase == COMPLETED ->
        for (k : 0 .. DAEMONS - 1) { assert(!SENDS_FORMER(k)) }
     :: else
     fi
  :: else
  fi
}

inline all_confirm(l) {
  confirmed = true;
#ifndef NO_CONFIRMATION
  for (k : 0 .. DAEMONS - 1) {
    if
    :: HAS_CONFIRMED(l, k)
    :: else -> confirmed = false
    fi
  }
#endif
}

active [LEADERS] proctype Lead() {
  byte me = _pid;
  byte k;
  byte d;
  bool confirmed;
  do
  :: atomic { /* it sees what is applied; what it saw before may be long past */
       leader[me].step != applied_step ->
       leader[me].step = applied_step;
       leader[me].phase = applied_phase
     }
  :: atomic { /* a daemon's report reaches it */
       select (d : 0 .. DAEMONS - 1);
       if
       :: leader[me].confirmed[d] < daemon[d].step -> leader[me].confirmed[d] = daemon[d].step
       :: else
       fi;
       d = 0
     }
  :: atomic { leader[me].phase == TRIAL -> apply(leader[me].step, FULL); k = 0 }
  :: atomic { !ENDED(leader[me].phase) -> apply(leader[me].step, ROLLED_BACK); k = 0 }
  :: atomic {
       leader[me].phase == FULL ->
       all_confirm(me);
       if
       :: confirmed ->
          apply(leader[me].step, COMPLETED);
          by_second = by_second || (me == 1 && applied_phase == COMPLETED)
       :: else
       fi;
       confirmed = false;
       k = 0
     }
  :: ENDED(applied_phase) && leader[me].step == applied_step -> break
  od
}

active [DAEMONS] proctype Follow() {
  byte me = _pid - LEADERS;
  byte at;
  do
  :: atomic { /* a plan reaches it, late or in another order */
       select (at : 0 .. STEPS);
       if
       :: at <= applied_step && IS_NEWER(me, at) -> daemon[me].step = at; daemon[me].phase = phase_of[at]
       :: else
       fi;
       at = 0;
       /* What it sends goes by what it follows. */
       assert(!(applied_phase == COMPLETED && SENDS_FORMER(me)));
       assert(!(daemon[me].phase == ROLLED_BACK && SENDS_CANARY(me)))
     }
  :: atomic { !daemon[me].restarted && me == 0 ->
       daemon[me].restarted = true;
       daemon[me].step = 0;
       daemon[me].phase = TRIAL;
#ifdef NO_FLOOR
       daemon[me].serves = true
#else
       daemon[me].serves = false
#endif
     }
  :: atomic { !daemon[me].serves -> /* the plan that a quorum has confirmed */
       daemon[me].step = applied_step;
       daemon[me].phase = applied_phase;
       daemon[me].serves = true
     }
#ifdef REACHED
  :: atomic { applied_phase == COMPLETED && by_second && daemon[0].restarted && daemon[0].serves -> assert(false) }
#endif
  :: atomic { ENDED(applied_phase) && daemon[me].step == applied_step && daemon[me].serves -> break }
  od
}
