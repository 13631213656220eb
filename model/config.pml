/* Configuration acceptance and propagation (docs/design.md, 2.2).
 *
 * Operators edit the head through the first EDITORS entries; each edit is a
 * conditional transaction whose answer may be lost, and whose effect may come
 * late. Three entries learn versions by pushes and store reads; the store may
 * be down and peers cut off at any moment, since every read and vote is
 * optional. Entries die and recover by the store or by a quorum.
 *
 * Time is abstract. `accepted` is the version reported as accepted to an
 * operator. `in_force` is the accepted version after the freshness limit has
 * passed: by then older confirmations have lapsed. `era` counts these steps;
 * a confirmation carries the era in which its question was sent.
 *
 * Guarantees (assertions):
 *  1. An entry that serves has applied at least the version in force.
 *  2. The version of a running entry never falls.
 *  3. Two edits never make the same version.
 */
#define MEMBERS 3
#define MAJORITY 2
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 2
#endif
/* Entries below EDITORS take one edit each. */
#ifndef EDITORS
#define EDITORS 1
#endif

byte store = 0;
byte restarts = 0;
byte accepted = 0;
byte in_force = 0;
/* Committed edits; equals `store` unless an update was lost. */
byte commits = 0;

byte applied[MEMBERS];
bool recovering[MEMBERS];
bool unresolved[MEMBERS];
bool edited[MEMBERS];
/* Freshness: the highest in_force + 1 at the sending of a confirming
   question; 0 none. It lapses when in_force reaches it. */
byte fresh[MEMBERS];
byte round[MEMBERS];
byte votes[MEMBERS];

/* The observer of acceptance for the version `watch`. A member's reports:
   none, one, one before it restarted, one of each round by one incarnation. */
#define NONE 0
#define REPORTED 1
#define RESTARTED 2
#define CONFIRMED 3
byte watch = 0;
byte report[MEMBERS];
bool second_round = false;

#define BIT(i) (1 << (i))
#define COUNT(v) (((v) & 1) + (((v) >> 1) & 1) + (((v) >> 2) & 1))
#define DATE (accepted + 1)

#ifdef VOUCH_WHILE_RECOVERING
#define IS_VOUCHING(j) true
#else
#define IS_VOUCHING(j) (!recovering[j])
#endif
#ifdef VOUCH_WHILE_UNRESOLVED
#define IS_CERTAIN(j) true
#else
#define IS_CERTAIN(j) (!unresolved[j])
#endif
#ifdef NO_VERSION_CHECK
#define VOUCHES(j, i) (IS_VOUCHING(j) && IS_CERTAIN(j))
#else
#define VOUCHES(j, i) (IS_VOUCHING(j) && IS_CERTAIN(j) && applied[j] <= applied[i])
#endif
#define OWN_VOTE(i) (!recovering[i] && IS_CERTAIN(i))

inline forget(i) {
  applied[i] = 0; recovering[i] = true; unresolved[i] = false;
  fresh[i] = 0; round[i] = 0; votes[i] = 0;
  report[i] = (report[i] == REPORTED -> RESTARTED : report[i])
}

proctype Entry(byte self) {
  byte other;
  byte from = 255;
  do
  /* Serves a caller: the check of the freshness and the send. */
  :: atomic { !recovering[self] && fresh[self] > in_force ->
      assert(applied[self] >= in_force) }

  /* An operator's edit, planned on the applied version. */
  :: atomic { self < EDITORS && !recovering[self] && !edited[self] &&
              from == 255 ->
      edited[self] = true; unresolved[self] = true; from = applied[self] }
  /* The transaction takes effect; its answer may be lost or late. */
#ifdef NO_CONDITION
  :: atomic { from != 255 ->
      store = from + 1; commits++;
#else
  :: atomic { from != 255 && store == from ->
      store++; commits++;
#endif
      assert(commits == store);
      from = 255 }
  /* It conflicts, or never arrives. */
  :: atomic { from != 255 -> from = 255 }
  /* The result is known, from the answer or by reading back. */
  :: atomic { unresolved[self] && from == 255 ->
      unresolved[self] = false;
      applied[self] = (store > applied[self] -> store : applied[self]) }

  /* A push from a peer, possibly an old one. */
  :: atomic { !recovering[self] && store > 0 ->
      other = 0;
      do
      :: other < store -> other++
      :: break
      od;
#ifdef APPLY_LOWER
      assert(other >= applied[self]);
      applied[self] = other;
#else
      applied[self] = (other > applied[self] -> other : applied[self]);
#endif
      other = 0 }

  /* A store read confirms. */
  :: atomic { !recovering[self] && applied[self] >= store ->
      fresh[self] = (DATE > fresh[self] -> DATE : fresh[self]) }

#ifndef NO_ROUNDS
  /* A ping round. */
  :: atomic { round[self] == 0 && !recovering[self] ->
      round[self] = DATE; votes[self] = 0 }
  :: atomic { round[self] > 0 ->
      other = 0;
      do
      :: other < MEMBERS - 1 -> other++
      :: break
      od;
      if
      :: other != self && VOUCHES(other, self) ->
        votes[self] = votes[self] | BIT(other)
      :: else
      fi;
      other = 0 }
  :: atomic { round[self] > 0 &&
              COUNT(votes[self]) + OWN_VOTE(self) >= MAJORITY ->
#ifdef DATE_TO_ANSWER
      round[self] = DATE;
#endif
      fresh[self] = (round[self] > fresh[self] -> round[self] : fresh[self]);
      round[self] = 0; votes[self] = 0 }
  :: atomic { round[self] > 0 -> round[self] = 0; votes[self] = 0 }
#endif

  /* Dies and starts anew. A transaction under way may still take effect, so
     `from` stays; the memory of it is lost. */
  :: atomic { restarts < MAX_RESTARTS -> restarts++; forget(self) }
  :: atomic { recovering[self] ->
      applied[self] = store; recovering[self] = false }
#ifdef RECOVER_FROM_ONE
#define OFFERS(a, b) (!recovering[a] || !recovering[b])
#else
#define OFFERS(a, b) (!recovering[a] && !recovering[b])
#endif
  :: atomic { recovering[self] &&
              OFFERS((self + 1) % MEMBERS, (self + 2) % MEMBERS) ->
      other = (self + 1) % MEMBERS;
      if
      :: !recovering[other] -> applied[self] = applied[other]
      :: else
      fi;
      other = (self + 2) % MEMBERS;
      if
      :: !recovering[other] && applied[other] > applied[self] ->
        applied[self] = applied[other]
      :: else
      fi;
      recovering[self] = false; other = 0 }
  od
}

#define IS(j, r) (report[j] == r)
#define HEARD(j) (!IS(j, NONE))

/* Gathers reports that a version is applied. After a majority has reported,
   a second question must find the same incarnations alive. */
proctype Observer() {
  byte j;
  do
  :: atomic { watch == 0 && accepted < store -> watch = accepted + 1 }
  :: atomic { watch > 0 ->
      j = 0;
      do
      :: j < MEMBERS - 1 -> j++
      :: break
      od;
      if
      :: !recovering[j] && applied[j] >= watch ->
        if
        :: !second_round -> report[j] = REPORTED
        :: second_round && IS(j, REPORTED) -> report[j] = CONFIRMED
        :: else
        fi
      :: else
      fi;
      j = 0 }
  :: atomic { watch > 0 && !second_round &&
              HEARD(0) + HEARD(1) + HEARD(2) >= MAJORITY ->
      second_round = true }
#ifdef ACCEPT_BY_SINGLE_REPORTS
  :: atomic { second_round ->
#else
  :: atomic { second_round &&
              IS(0, CONFIRMED) + IS(1, CONFIRMED) + IS(2, CONFIRMED) >=
                MAJORITY ->
#endif
#ifdef REACH
      assert(store < EDITORS);
#endif
      accepted = watch; watch = 0; second_round = false;
      report[0] = NONE; report[1] = NONE; report[2] = NONE }
  /* The freshness limit passes. */
  :: atomic { in_force < accepted -> in_force = accepted }
  od
}

init {
  atomic { run Entry(0); run Entry(1); run Entry(2); run Observer() }
}
