/* SPDX-License-Identifier: BSD-3-Clause
 *
 * The core protocol of lanedock, small: control replicas agree on a log;
 * versions are submitted, staged on every daemon, accepted or aborted, put in
 * force; daemons restart without memory; a replica loses its disk and is
 * replaced; leaders are cut off in silence and go on believing that they lead.
 *
 * A cut is a step that is not taken, so every cut is among the runs checked.
 * To keep it small, the replica that loses its disk never leads, and only the
 * first daemon is restarted. Steps are atomic; what lies between two of them (an election and the deposed
 * leader's next act, a staging and its acknowledgement) is not.
 *
 * Compile with -D of one of these for a mistake that the checker must find:
 *   NO_QUORUM      a leader commits without a majority
 *   NO_FENCING     a replica obeys a leader of a lower term
 *   LEARNER_VOTES  a replica that lost its disk votes as its old self
 *   NO_FLOOR       a restarted daemon believes any replica
 *   EARLY_ACCEPT   a version is accepted before all daemons have staged it
 *   REUSED_NUMBER  an aborted version's number may be used again
 * and with -DREACHED to see that a version does come into force on all daemons
 * under a second leader, after a disk was lost.
 */

#define REPLICAS 3
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef LENGTH
#define LENGTH 7
#endif
#ifndef TERMS
#define TERMS 3
#endif
#ifndef SUBMISSIONS
#define SUBMISSIONS 3
#endif

/* An entry: kind, version (1 or 2), content (1 or 2). Content 2 is bad: the
 * last daemon refuses it. */
#define NOP 0
#define SUBMIT 1
#define ACCEPT 2
#define ABORT 3
#define ENTRY(k, v, c) (((k) << 4) | ((v) << 2) | (c))
#define KIND(e) ((e) >> 4)
#define VERSION(e) (((e) >> 2) & 3)
#define CONTENT(e) ((e) & 3)
#define PAIR(v, c) (1 << (((v) << 1) + (c) - 3))

typedef Replica {
  byte entry[LENGTH];
  byte entry_term[LENGTH];
  byte length;
  byte term;
  byte commit;
  byte match[REPLICAS];  /* as leader: what each replica has acknowledged */
  byte acks;             /* as leader: daemons that staged the candidate */
  byte acks_for;         /* the candidate meant, as an entry of kind SUBMIT */
  bool leads;
  bool votes;
};
typedef Daemon {
  byte in_force;
  byte in_force_content;
  byte staged;
  byte staged_content;
  bool up;
  bool restarted;
};

Replica replica[REPLICAS];
Daemon daemon[DAEMONS];
byte submitted;
bool disk_lost;

/* Ghosts: what no process knows, for the properties. */
byte chosen[LENGTH];       /* committed entries, by anybody */
byte chosen_length;
byte served[DAEMONS];      /* newest version that a daemon ever served */
byte checked[DAEMONS];     /* pairs of version and content that it found good */
byte not_run;              /* pairs that an operator was told are not run */
byte content_of[3];        /* content in force under a number, anywhere */

/* Result of SCAN. */
hidden byte accepted, accepted_content, candidate, candidate_content;
hidden byte used[3];
hidden byte i, n, e, count, target;
hidden byte decided;

/* Apply a replica's log up to an index, as MeshState does. */
inline SCAN(r, upto) {
  accepted = 0; accepted_content = 0; candidate = 0; candidate_content = 0;
  used[1] = 0; used[2] = 0;
  i = 0;
  do
  :: i < upto ->
     e = replica[r].entry[i];
     if
     :: KIND(e) == SUBMIT && used[VERSION(e)] == 0 && VERSION(e) > accepted && candidate == 0 ->
        candidate = VERSION(e); candidate_content = CONTENT(e); used[VERSION(e)] = CONTENT(e)
     :: KIND(e) == ACCEPT && candidate == VERSION(e) && candidate_content == CONTENT(e) ->
        accepted = candidate; accepted_content = candidate_content; candidate = 0; candidate_content = 0
     :: KIND(e) == ABORT && candidate == VERSION(e) && candidate_content == CONTENT(e) ->
#ifdef REUSED_NUMBER
        used[candidate] = 0;
#endif
        candidate = 0; candidate_content = 0
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0; e = 0
}

/* Tell operators of submissions and aborts that have just been committed. */
inline ANSWER(r, index) {
  e = replica[r].entry[index];
  if
  :: KIND(e) == SUBMIT ->
     n = e;
     SCAN(r, index);
     if
     :: used[VERSION(n)] != 0 && used[VERSION(n)] != CONTENT(n) -> not_run = not_run | PAIR(VERSION(n), CONTENT(n))
     :: used[VERSION(n)] == 0 && VERSION(n) <= accepted -> not_run = not_run | PAIR(VERSION(n), CONTENT(n))
     :: else
     fi;
     n = 0
  :: KIND(e) == ABORT ->
     n = e;
     SCAN(r, index);
     if
     :: candidate == VERSION(n) && candidate_content == CONTENT(n) ->
        not_run = not_run | PAIR(VERSION(n), CONTENT(n))
     :: else
     fi;
     n = 0
  :: else
  fi;
  e = 0
}

inline APPEND(r, what) {
  replica[r].entry[replica[r].length] = what;
  replica[r].entry_term[replica[r].length] = replica[r].term;
  replica[r].length++;
  replica[r].match[r] = replica[r].length
}

#define LAST_TERM(r) (replica[r].length == 0 -> 0 : replica[r].entry_term[replica[r].length - 1])
#define IS_UP_TO_DATE(c, r) \
  (LAST_TERM(c) > LAST_TERM(r) || (LAST_TERM(c) == LAST_TERM(r) && replica[c].length >= replica[r].length))
#define GRANTS(r, c, t) (replica[r].votes && replica[r].term < (t) && IS_UP_TO_DATE(c, r))
#define HIGHEST(a, b) ((a) > (b) -> (a) : (b))

/* A replica leads no more; what it knew as leader is forgotten. */
inline DEPOSE(r) {
  replica[r].leads = false; replica[r].acks = 0; replica[r].acks_for = 0;
  replica[r].match[0] = 0; replica[r].match[1] = 0; replica[r].match[2] = 0
}

/* A replica is elected by itself and one other, which both then know the term. */
inline ELECT(c, voter) {
  atomic {
    replica[c].votes && c != voter && replica[c].term < TERMS && replica[c].length < LENGTH &&
    GRANTS(voter, c, replica[c].term + 1) ->
    d_step {
      replica[c].term = replica[c].term + 1;
      replica[voter].term = replica[c].term;
      DEPOSE(voter);
      replica[c].leads = true;
      replica[c].acks = 0; replica[c].acks_for = 0;
      replica[c].match[0] = 0; replica[c].match[1] = 0; replica[c].match[2] = 0;
      APPEND(c, ENTRY(NOP, 0, 0))
    }
  }
}

#ifdef NO_FENCING
#define OBEYS(f, l) true
#else
#define OBEYS(f, l) (replica[f].term <= replica[l].term)
#endif

/* A follower takes over the leader's log and acknowledges it. */
inline REPLICATE(l, f) {
  atomic {
    l != f && replica[l].leads && OBEYS(f, l) &&
    (replica[l].match[f] < replica[l].length || replica[f].commit < replica[l].commit) ->
    d_step {
      if
      :: replica[f].term < replica[l].term -> replica[f].term = replica[l].term
      :: else
      fi;
      DEPOSE(f);
      n = 0;
      do
      :: n < replica[l].length ->
         replica[f].entry[n] = replica[l].entry[n]; replica[f].entry_term[n] = replica[l].entry_term[n]; n++
      :: else -> break
      od;
      do
      :: n < LENGTH -> replica[f].entry[n] = 0; replica[f].entry_term[n] = 0; n++
      :: else -> break
      od;
      n = 0;
      replica[f].length = replica[l].length;
      replica[l].match[f] = replica[l].length;
      replica[f].commit = HIGHEST(replica[f].commit, replica[l].commit)
    }
  }
}

/* Count the voters that hold the leader's next uncommitted entries. */
inline COUNT(l, index) {
  count = 0; n = 0;
  do
  :: n < REPLICAS -> count = count + ((replica[n].votes && replica[l].match[n] > (index)) -> 1 : 0); n++
  :: else -> break
  od;
  n = 0
}

#ifdef NO_QUORUM
#define IS_QUORUM(c) ((c) >= 1)
#else
#define IS_QUORUM(c) ((c) >= 2)
#endif
#define IS_OWN(l, index) (replica[l].entry_term[index] == replica[l].term)

/* Commit up to the entry at `index`, all before it included. */
inline COMMIT(l, index) {
  atomic {
    replica[l].leads && replica[l].commit <= index && index < replica[l].length && IS_OWN(l, index) ->
    d_step {
      target = index;
      COUNT(l, target);
      if
      :: IS_QUORUM(count) ->
         do
         :: replica[l].commit <= target ->
            /* Accepted survives: nothing committed is ever replaced. */
            if
            :: replica[l].commit < chosen_length ->
               assert(chosen[replica[l].commit] == replica[l].entry[replica[l].commit])
            :: else ->
               chosen[replica[l].commit] = replica[l].entry[replica[l].commit];
               chosen_length = replica[l].commit + 1
            fi;
            ANSWER(l, replica[l].commit);
            replica[l].commit++
         :: else -> break
         od
      :: else
      fi;
      count = 0; target = 0
    }
  }
}

/* Operators race each other: any version under any number, at any leader. */
inline SUBMIT_AT(l, v, c) {
  atomic {
    replica[l].leads && submitted < SUBMISSIONS && replica[l].length < LENGTH ->
    d_step { submitted++; APPEND(l, ENTRY(SUBMIT, v, c)) }
  }
}

/* A daemon checks and stages what any replica knows to be the candidate. */
inline STAGE(d, r) {
  atomic {
    daemon[d].up ->
    d_step {
      SCAN(r, replica[r].commit);
      if
      :: candidate > daemon[d].in_force && !(d == DAEMONS - 1 && candidate_content == 2) ->
         daemon[d].staged = candidate; daemon[d].staged_content = candidate_content;
         checked[d] = checked[d] | PAIR(candidate, candidate_content)
      :: else
      fi
    }
  }
}

/* The leader hears that a daemon has staged the candidate. */
inline HEAR(l, d) {
  atomic {
    replica[l].leads && daemon[d].up && daemon[d].staged != 0 ->
    d_step {
      SCAN(l, replica[l].commit);
      if
      :: candidate != 0 && daemon[d].staged == candidate && daemon[d].staged_content == candidate_content ->
         if
         :: replica[l].acks_for != ENTRY(SUBMIT, candidate, candidate_content) ->
            replica[l].acks_for = ENTRY(SUBMIT, candidate, candidate_content); replica[l].acks = 0
         :: else
         fi;
         replica[l].acks = replica[l].acks | (1 << d)
      :: else
      fi
    }
  }
}

/* Find out whether the leader has proposed a decision on the candidate. */
inline FIND_DECISION(l) {
  decided = 0; i = 0;
  do
  :: i < replica[l].length ->
     e = replica[l].entry[i];
     decided = decided | ((KIND(e) == ACCEPT || KIND(e) == ABORT) &&
       VERSION(e) == candidate && CONTENT(e) == candidate_content && i >= replica[l].commit);
     i++
  :: else -> break
  od;
  i = 0; e = 0
}

#ifdef EARLY_ACCEPT
#define ALL_STAGED(l) (replica[l].acks != 0)
#else
#define ALL_STAGED(l) (replica[l].acks == (1 << DAEMONS) - 1)
#endif

inline DECIDE(l, kind) {
  atomic {
    replica[l].leads && replica[l].length < LENGTH ->
    d_step {
      SCAN(l, replica[l].commit);
      n = candidate; count = candidate_content;
      FIND_DECISION(l);
      if
      :: n != 0 && !decided && kind == ACCEPT && ALL_STAGED(l) && replica[l].acks_for == ENTRY(SUBMIT, n, count) ->
         APPEND(l, ENTRY(ACCEPT, n, count))
      :: n != 0 && !decided && kind == ABORT ->
         APPEND(l, ENTRY(ABORT, n, count))
      :: else
      fi;
      decided = 0; n = 0; count = 0
    }
  }
}

/* A daemon puts in force what any replica knows to be accepted. */
inline ACTIVATE(d, r) {
  atomic {
    daemon[d].up ->
    d_step {
      SCAN(r, replica[r].commit);
      if
      :: accepted > daemon[d].in_force ->
         assert((not_run & PAIR(accepted, accepted_content)) == 0);
         assert(content_of[accepted] == 0 || content_of[accepted] == accepted_content);
         content_of[accepted] = accepted_content;
         /* Nothing is in force anywhere that not every daemon found good. */
         n = 0;
         do
         :: n < DAEMONS -> assert((checked[n] & PAIR(accepted, accepted_content)) != 0); n++
         :: else -> break
         od;
         n = 0;
         daemon[d].in_force = accepted; daemon[d].in_force_content = accepted_content;
         served[d] = HIGHEST(served[d], accepted);
         if
         :: daemon[d].staged <= accepted -> daemon[d].staged = 0; daemon[d].staged_content = 0
         :: else
         fi
      :: else
      fi
    }
  }
}

inline RESTART(d) {
  atomic {
    daemon[d].up && !daemon[d].restarted ->
    d_step {
      daemon[d].up = false; daemon[d].restarted = true;
      daemon[d].in_force = 0; daemon[d].in_force_content = 0;
      daemon[d].staged = 0; daemon[d].staged_content = 0
    }
  }
}

#define CONFIRMS(l, r) (replica[r].votes && replica[r].term == replica[l].term)
#define IS_CURRENT(l) \
  (replica[l].leads && replica[l].commit > 0 && replica[l].entry_term[replica[l].commit - 1] == replica[l].term && \
   (CONFIRMS(l, 0) + CONFIRMS(l, 1) + CONFIRMS(l, 2)) >= 2)
#ifdef NO_FLOOR
#define MAY_TELL_FLOOR(l) true
#else
#define MAY_TELL_FLOOR(l) IS_CURRENT(l)
#endif

/* A restarted daemon serves again with what a quorum has confirmed. */
inline RECOVER(d, l) {
  atomic {
    !daemon[d].up && MAY_TELL_FLOOR(l) ->
    d_step {
      SCAN(l, replica[l].commit);
      daemon[d].in_force = accepted; daemon[d].in_force_content = accepted_content;
      daemon[d].up = true;
      /* Never back. */
      assert(daemon[d].in_force >= served[d]);
      served[d] = HIGHEST(served[d], accepted)
    }
  }
}

/* The last replica loses its disk: it holds nothing, and its old self is mute. */
inline LOSE_DISK() {
  atomic {
    !disk_lost ->
    d_step {
      disk_lost = true;
      n = 0;
      do
      :: n < LENGTH -> replica[2].entry[n] = 0; replica[2].entry_term[n] = 0; n++
      :: else -> break
      od;
      n = 0;
      replica[0].match[2] = 0; replica[1].match[2] = 0;
      replica[2].length = 0; replica[2].term = 0; replica[2].commit = 0;
      DEPOSE(2);
#ifndef LEARNER_VOTES
      replica[2].votes = false
#endif
    }
  }
}

/* A learner that has caught up becomes a voter, by a change that the others commit. */
inline PROMOTE(l) {
  atomic {
    replica[l].leads && !replica[2].votes && l != 2 &&
    replica[0].term == replica[l].term && replica[1].term == replica[l].term && replica[2].term == replica[l].term &&
    replica[l].commit == replica[l].length && replica[l].match[2] == replica[l].length ->
    d_step { replica[2].votes = true }
  }
}


active proctype system() {
  d_step {
    n = 0;
    do
    :: n < REPLICAS -> replica[n].votes = true; n++
    :: else -> break
    od;
    n = 0;
    do
    :: n < DAEMONS -> daemon[n].up = true; n++
    :: else -> break
    od;
    n = 0
  }
end:
  do
#ifdef REACHED
  :: d_step {
       daemon[0].in_force != 0 && daemon[DAEMONS - 1].in_force != 0 && daemon[0].restarted &&
       disk_lost && replica[1].term == 2 -> assert(false)
     }
#endif
  :: ELECT(0, 1) :: ELECT(0, 2) :: ELECT(1, 0) :: ELECT(1, 2)
  :: REPLICATE(0, 1) :: REPLICATE(0, 2) :: REPLICATE(1, 0) :: REPLICATE(1, 2)
  :: COMMIT(0, replica[0].commit) :: COMMIT(1, replica[1].commit)
  :: COMMIT(0, replica[0].commit + 1) :: COMMIT(1, replica[1].commit + 1)
  :: SUBMIT_AT(0, 1, 1) :: SUBMIT_AT(0, 1, 2) :: SUBMIT_AT(0, 2, 1)
  :: SUBMIT_AT(1, 1, 1) :: SUBMIT_AT(1, 1, 2) :: SUBMIT_AT(1, 2, 1)
  :: STAGE(0, 0) :: STAGE(0, 1)
  :: HEAR(0, 0) :: HEAR(1, 0)
  :: DECIDE(0, ACCEPT) :: DECIDE(1, ACCEPT) :: DECIDE(0, ABORT) :: DECIDE(1, ABORT)
  :: ACTIVATE(0, 0) :: ACTIVATE(0, 1) :: ACTIVATE(0, 2)
  :: RESTART(0)
  :: RECOVER(0, 0) :: RECOVER(0, 1)
#if DAEMONS > 1
  :: STAGE(1, 0) :: STAGE(1, 1) :: HEAR(0, 1) :: HEAR(1, 1)
  :: ACTIVATE(1, 0) :: ACTIVATE(1, 1) :: ACTIVATE(1, 2)
#endif
  :: LOSE_DISK()
  :: PROMOTE(0) :: PROMOTE(1)
  od
}
