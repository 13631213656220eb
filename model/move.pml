/* A VM's move between pools and its drain (docs/design.md, 2.2 and 2.4).
 *
 * The VM's row goes through three fleet versions: 0, it serves pool A; 1, it
 * drains; 2, it serves pool B. The controller writes 2 when every member has
 * acknowledged version 1 or is known to have stopped. Three members lag, lose
 * messages, pause, die and start anew; each may be cut off from the store and
 * from peers at any moment, since every read and vote is optional.
 *
 * Time is abstract. `settled` is the moment at which a majority has applied
 * version 1. A confirmation is "late" if its question was sent after that
 * moment. LongWait is the passing of freshness limit + longest request after
 * that moment: confirmations that are not late have lapsed by then, and the
 * requests sent by them have ended.
 *
 * Guarantee: no entry sends a request for pool A when version 2 is written,
 * and none is in flight at a living entry.
 */
#define MEMBERS 3
#define MAJORITY 2
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 2
#endif

byte store = 0;
byte restarts = 0;
bool settled = false;
bool waited = false;

byte applied[MEMBERS];
bool recovering[MEMBERS];
/* Freshness: 0 none, 1 confirmed before `settled`, 2 late. */
byte fresh[MEMBERS];
/* A request for pool A in flight: 0 none, else `fresh` at its sending. */
byte in_flight[MEMBERS];
/* The controller has this incarnation's acknowledgement. */
bool acknowledged[MEMBERS];
/* The ping round that is open: 0 none, 1 sent before `settled`, 2 late. */
byte round[MEMBERS];
byte votes[MEMBERS];

#ifdef SETTLE_BY_SINGLE_REPORTS
/* Reports of different moments, kept when their sender restarts. */
bool reported[MEMBERS];
#define HAS(i) (reported[i])
#else
#define HAS(i) (!recovering[i] && applied[i] >= 1)
#endif
#define SETTLES (HAS(0) + HAS(1) + HAS(2) >= MAJORITY)

inline note_settled() {
#ifdef SETTLE_BY_SINGLE_REPORTS
  if
  :: _pid >= 1 && _pid <= MEMBERS && applied[_pid - 1] >= 1 ->
    reported[_pid - 1] = true
  :: else
  fi;
#endif
#ifdef GONE_WITHOUT_MAJORITY
  settled = settled || store >= 1;
#else
  settled = settled || SETTLES;
#endif
}

#ifdef NO_FRESHNESS_CHECK
#define MAY_SERVE(i) (!recovering[i])
#else
#define MAY_SERVE(i) (!recovering[i] && fresh[i] > 0)
#endif

#define BIT(i) (1 << (i))
#define COUNT(v) (((v) & 1) + (((v) >> 1) & 1) + (((v) >> 2) & 1))

#ifdef VOUCH_WHILE_RECOVERING
#define VOUCHES(j, i) (applied[j] <= applied[i])
#else
#define VOUCHES(j, i) (!recovering[j] && applied[j] <= applied[i])
#endif

proctype Entry(byte self) {
  byte other;
  do
  /* Sends a request for the pool in its applied version. The check of the
     freshness directly precedes the send. */
  :: atomic { MAY_SERVE(self) && applied[self] == 0 && in_flight[self] == 0 ->
      assert(store < 2);
      in_flight[self] = (fresh[self] > 0 -> fresh[self] : 1) }
  :: atomic { in_flight[self] > 0 -> in_flight[self] = 0 }

  /* Applies the row from a push or a read of the store. */
  :: atomic { !recovering[self] && applied[self] < store ->
      applied[self] = store; note_settled() }

  /* Acknowledges the drain. */
#ifdef ACK_WITH_IN_FLIGHT
  :: atomic { !recovering[self] && applied[self] == 1 &&
              !acknowledged[self] ->
#else
  :: atomic { !recovering[self] && applied[self] == 1 &&
              in_flight[self] == 0 && !acknowledged[self] ->
#endif
      acknowledged[self] = true }

  /* A store read confirms: it shows the applied version. Its question and
     answer are one step; a late answer is dated to the question. */
  :: atomic { !recovering[self] && applied[self] == store ->
      fresh[self] = (settled -> 2 : 1) }

  /* A ping round: the question, the votes one by one, the count. */
  :: atomic { round[self] == 0 && !recovering[self] ->
      round[self] = (settled -> 2 : 1); votes[self] = 0 }
  :: atomic { round[self] > 0 ->
      select(other : 0 .. 2);
      if
      :: other != self && VOUCHES(other, self) ->
        votes[self] = votes[self] | BIT(other)
      :: else
      fi;
      other = 0 }
  :: atomic { round[self] > 0 && !recovering[self] &&
              COUNT(votes[self]) + 1 >= MAJORITY ->
#ifdef DATE_TO_ANSWER
      round[self] = (settled -> 2 : 1);
#endif
      if
      :: round[self] > fresh[self] && !(waited && round[self] == 1) ->
        fresh[self] = round[self]
      :: else
      fi;
      round[self] = 0; votes[self] = 0 }
  :: atomic { round[self] > 0 -> round[self] = 0; votes[self] = 0 }

  /* Freshness lapses. */
  :: atomic { fresh[self] > 0 -> fresh[self] = 0 }

  /* Dies and starts anew: everything in memory is lost. Its requests break
     off with it. */
  :: atomic { restarts < MAX_RESTARTS ->
      restarts++;
      recovering[self] = true; applied[self] = 0; fresh[self] = 0;
      in_flight[self] = 0; acknowledged[self] = false;
      round[self] = 0; votes[self] = 0 }

  /* Recovers from the store, or from a majority other than itself. */
  :: atomic { recovering[self] ->
      applied[self] = store; recovering[self] = false; note_settled() }
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
      recovering[self] = false; other = 0; note_settled() }
  od
}

#ifdef NO_DRAIN_ACK
#define STOPPED(i) true
#else
#ifdef GONE_AT_ONCE
#define STOPPED(i) (acknowledged[i] || applied[i] < 1)
#else
#define STOPPED(i) (acknowledged[i] || waited)
#endif
#endif

proctype Controller() {
  atomic { store = 1; note_settled() };
  do
  :: atomic { settled && !waited ->
      waited = true;
      byte i = 0;
      do
      :: i < MEMBERS ->
        if
        :: fresh[i] == 1 -> fresh[i] = 0
        :: else
        fi;
        if
        :: in_flight[i] == 1 -> in_flight[i] = 0
        :: else
        fi;
        if
        :: round[i] == 1 -> round[i] = 0; votes[i] = 0
        :: else
        fi;
        i++
      :: else -> break
      od;
      i = 0 }
  :: atomic { STOPPED(0) && STOPPED(1) && STOPPED(2) ->
      store = 2;
      assert(in_flight[0] == 0 && in_flight[1] == 0 && in_flight[2] == 0);
#ifdef REACH
      assert(!waited || acknowledged[0] || acknowledged[1]);
#endif
      break }
  od
}

init {
  atomic { run Entry(0); run Entry(1); run Entry(2); run Controller() }
}
