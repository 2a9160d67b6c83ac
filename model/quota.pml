/* SPDX-License-Identifier: BSD-3-Clause
 *
 * Who may grant a zone's share of a quota: the leader, or a control instance of the zone that
 * hears no leader.
 *
 * Leaders follow each other; that two never lead at a time is what leases are for, and is tested
 * there. Messages and their answers may come late, in any order, again, or never. The instance
 * is restarted without memory. Time passes in steps of 0.2 s between any two events.
 *
 * Compile with -D of one of these for a mistake that the checker must find:
 *   ANSWER_TIME       an answer counts from its arrival, not from the sending of what it answers
 *   ANY_MESSAGE       whatever the instance sends counts, whether it hears the leader or not
 *   NEW_LEADER_TRUSTS a new leader takes the instance for hearing it
 *   NO_WAIT           a restarted instance grants on its own at once
 *   OLD_LOOK          the leader grants by a look at silence however old
 * and with -DREACHED to see that the second leader grants the share after the instance did so.
 */

#ifndef STEPS
#define STEPS 8
#endif
#define TERMS 2
/* Steps of 0.2 s. */
#define SILENT_AFTER 3
#define ALONE_AFTER 4
#define VALIDITY 1

byte now;
/* The term of the leader, and whether its lease is valid. */
byte term = 1;
bool leads = true;
byte led_since[TERMS + 1];
byte led_until[TERMS + 1];

/* Of the leader: the sending of the newest message that was answered, plus 1; its last look at silence. */
byte answered;
bool looked_heard;
byte looked_at;

/* Of the instance. */
byte heard_term;
byte heard_at;
bool is_alone;
bool restarted;
bool was_alone;
/* Sendings of the messages that it has answered, by term, as bits. */
short answers[TERMS + 1];

#ifdef OLD_LOOK
#define IS_LOOK_VALID true
#else
#define IS_LOOK_VALID (now <= looked_at + VALIDITY)
#endif
#define MAY_GRANT_SHARE (leads && looked_heard && IS_LOOK_VALID)

/* Both would grant the same share. */
inline check() { assert(!(is_alone && MAY_GRANT_SHARE)) }

inline hear(at) {
  if
  :: answered < at + 1 -> answered = at + 1
  :: else
  fi
}

active proctype Time() {
  do
  :: atomic { now < STEPS - 1 -> now++; check() }
  :: now == STEPS - 1 -> break
  od
}

active proctype Lead() {
  byte at;
  led_until[1] = STEPS;
  do
  :: atomic { /* an answer of the instance arrives */
       select (at : 0 .. STEPS - 1);
       if
       :: leads && (answers[term] & (1 << at)) ->
#ifdef ANSWER_TIME
          hear(now)
#else
          hear(at)
#endif
       :: else
       fi;
       at = 0;
       check()
     }
#ifdef ANY_MESSAGE
  :: atomic { leads -> hear(now); check() }
#endif
  :: atomic { leads -> /* it looks at silence */
       looked_heard = answered > 0 && now < answered - 1 + SILENT_AFTER;
       looked_at = now;
       check()
     }
  :: atomic { leads && term < TERMS -> leads = false; led_until[term] = now }
  :: atomic { !leads ->
       leads = true;
       term++;
       led_since[term] = now;
       led_until[term] = STEPS;
       answered = 0;
       looked_heard = false;
#ifdef NEW_LEADER_TRUSTS
       answered = now + 1;
       looked_heard = true;
#endif
       looked_at = now;
       check()
     }
#ifdef REACHED
  :: atomic { term == TERMS && MAY_GRANT_SHARE && was_alone && restarted -> assert(false) }
#endif
  :: now == STEPS - 1 -> break
  od
}

active proctype Instance() {
  byte in_term;
  byte at;
  do
  :: atomic { /* a message of a leader arrives, sent at any time of its term */
       select (in_term : 1 .. TERMS);
       select (at : 0 .. STEPS - 1);
       if
       :: in_term <= term && in_term >= heard_term && at >= led_since[in_term] && at <= led_until[in_term] && at <= now ->
          heard_term = in_term;
          heard_at = now;
          is_alone = false;
          answers[in_term] = answers[in_term] | (1 << at)
       :: else
       fi;
       in_term = 0;
       at = 0
     }
  :: atomic { now >= heard_at + ALONE_AFTER && !is_alone -> is_alone = true; was_alone = true; check() }
  :: atomic { !restarted ->
       restarted = true;
       is_alone = false;
#ifndef NO_WAIT
       heard_at = now;
#else
       is_alone = true;
       check()
#endif
     }
  :: now == STEPS - 1 -> break
  od
}
