/* A cancellation of a job whose submission is still on its way
 * (docs/design.md, 6.1).
 *
 * A queue is assigned to shard 0, then to shard 1, then to shard 0 again:
 * assignments 1, 2 and 3. Entries know any assignment up to the present one.
 * Each submission is a transaction that the store carries out at any later
 * time, or never. A cancellation looks into one shard after the other; if it
 * finds no job, it stores a tombstone.
 *
 * Guarantee (assertion): once a cancellation is acknowledged, no transaction
 * leaves a job that is not cancelled.
 */
#ifndef SUBMITTERS
#define SUBMITTERS 2
#endif
#ifndef CANCELLERS
#define CANCELLERS 1
#endif

#define LAST_ASSIGNMENT 3
#define SHARD(assignment) ((assignment - 1) % 2)
#define NONE 0
#define TOMBSTONE 1
#define CANCELLED_JOB 2

byte assignment = 1;
/* Index 0 is not used. */
bool assignment_ended[LAST_ASSIGNMENT + 1];
bool job[2];
bool cancel[2];
/* The row in the table of ended jobs and its version, 0 if it is absent. */
byte ended[2];
byte version[2];
bool acknowledged = false;
bool met = false;

#define RUNS(s) (job[s] && !cancel[s])

#define EXISTS(s) (job[s] || ended[s] == CANCELLED_JOB)

inline check() {
  assert(!(acknowledged && (RUNS(0) || RUNS(1))))
}

/* An assignment after the first has both shards among its own and its former
 * ones. */
#define IN_SHARD(s, required) (!job[s] && version[s] == required)
#ifdef NO_FORMER_SHARDS
#define ABSENT(a, r0, r1) \
  ((SHARD(a) == 0 && IN_SHARD(0, r0)) || (SHARD(a) == 1 && IN_SHARD(1, r1)))
#else
#define ABSENT(a, r0, r1) (IN_SHARD(0, r0) && (a == 1 || IN_SHARD(1, r1)))
#endif

/* The transaction of a submission, which finds the job cancelled or not. */
proctype StoreJob(byte known; byte required0; byte required1; bool cancelled) {
  if
#ifdef CHECK_BEFORE
  :: atomic { !assignment_ended[known] && !job[0] && !job[1] ->
#else
  :: atomic { !assignment_ended[known] &&
              ABSENT(known, required0, required1) ->
#endif
      if
      :: cancelled ->
        ended[SHARD(known)] = CANCELLED_JOB; version[SHARD(known)]++;
        met = true
      :: else -> job[SHARD(known)] = true
      fi;
      check() }
  :: true
  fi
}

proctype Submit() {
  byte known = 1;
  byte required[2];
  bool cancelled = false;
  byte attempts = 0;
next:
  /* The entry may have missed any move. */
  do
  :: known < assignment -> known++
  :: break
  od;
  run StoreJob(known, required[0], required[1], cancelled);
  attempts++;
  if
  :: attempts < 2 ->
    /* The conflict shows the rows as they are. */
    atomic {
      required[0] = version[0]; required[1] = version[1];
      cancelled = (ended[0] == TOMBSTONE || ended[1] == TOMBSTONE);
      if
      :: EXISTS(0) || EXISTS(1) -> goto done
      :: else
      fi
    };
    goto next
  :: true
  fi;
done:
  skip
}

proctype Cancel() {
  byte known = 1;
  byte shard = 0;
search:
  shard = 0;
  do
  :: shard < 2 ->
    if
    :: atomic { ended[shard] == CANCELLED_JOB -> acknowledged = true; check() };
      goto done
    :: atomic { ended[shard] != CANCELLED_JOB && job[shard] ->
        cancel[shard] = true; acknowledged = true; check() };
      goto done
    :: atomic { ended[shard] != CANCELLED_JOB && !job[shard] -> shard++ }
    fi
  :: shard == 2 -> break
  od;
  do
  :: known < assignment -> known++
  :: break
  od;
#ifdef NO_TOMBSTONE
  atomic { acknowledged = true; check() };
  goto done;
#endif
  atomic {
    if
#ifndef NO_ASSIGNMENT_CONDITION
    :: assignment_ended[known] ->
      /* Follows the queue. The next assignment may not be written yet. */
      if
      :: known < assignment -> known = assignment
      :: else
      fi;
      goto search
#endif
#ifdef NO_JOB_CONDITION
    :: else ->
#else
    :: EXISTS(0) || (known > 1 && EXISTS(1)) -> goto search
    :: else ->
#endif
      if
      :: ended[SHARD(known)] != CANCELLED_JOB ->
        ended[SHARD(known)] = TOMBSTONE; version[SHARD(known)]++
      :: else
      fi;
      acknowledged = true;
      check()
    fi
  };
done:
  skip
}

proctype MoveQueue() {
  do
  :: assignment < LAST_ASSIGNMENT ->
#ifndef NO_ENDED_ROW
    assignment_ended[assignment] = true;
#endif
    assignment++
  :: break
  od
}

init {
  byte i = 0;
  atomic {
    do
    :: i < SUBMITTERS -> run Submit(); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < CANCELLERS -> run Cancel(); i++
    :: else -> break
    od;
    run MoveQueue()
  };
#ifdef REACH
  assert(!(acknowledged && met))
#endif
}
