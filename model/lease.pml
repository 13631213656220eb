/* Controller lease and fencing (docs/design.md, 2.3).
 *
 * ENTRIES entries compete for one lease row. A holder may pause at any point,
 * between its check of the lease and the arrival of its write included, and
 * resume later. Answers to acquisitions may be lost. Time is abstract: the
 * lease of a holder may lapse at any moment, and a watcher's wait can only end
 * after it has lapsed, because the holder counts from the sending of its write
 * and the watcher from the receipt of a later read.
 *
 * Guarantees (assertions):
 *  1. A controller write takes effect only under the newest epoch.
 *  2. The platform carries out no command with a lower token than an earlier
 *     one.
 *  3. At most one entry holds a lease that has not lapsed.
 */
#ifndef ENTRIES
#define ENTRIES 3
#endif
#define MAX_EPOCH 4
#define MAX_VERSION 6
#define NOBODY ENTRIES

/* The rows lease/controller and lease/controller_epoch. */
byte holder = NOBODY;
byte row_version = 0;
byte epoch = 0;

/* What each entry believes, and whether its lease is running. */
bool holds[ENTRIES];
bool running[ENTRIES];
byte held_epoch[ENTRIES];

byte highest_token = 0;

inline acquire_commits() {
#ifndef NO_EPOCH_INCREMENT
  epoch++;
#endif
  holder = _pid;
  row_version++;
}

/* May this entry try to take the lease over? */
#ifdef NO_EXPIRY_WAIT
#define MAY_TAKE_OVER (epoch < MAX_EPOCH && row_version < MAX_VERSION)
#else
#define MAY_TAKE_OVER \
  (epoch < MAX_EPOCH && row_version < MAX_VERSION && \
   (holder == NOBODY || !running[holder]))
#endif

#define OTHER_RUNS(i) (i != _pid && holds[i] && running[i])

inline become() {
  assert(!OTHER_RUNS(0) && !OTHER_RUNS(1) && !OTHER_RUNS(ENTRIES - 1));
  holds[_pid] = true;
  held_epoch[_pid] = epoch;
  running[_pid] = true;
}

active [ENTRIES] proctype Entry() {
  byte seen_version;
  byte write_epoch;
  do
  :: holds[_pid] && running[_pid] ->
    /* The check of the lease, then the write or command under way. The two
       are separate steps: the entry may pause between them. */
    write_epoch = held_epoch[_pid];
    if
    :: atomic {
#ifndef NO_FENCING
      write_epoch == epoch ->
#else
      true ->
#endif
      assert(write_epoch == epoch && holder == _pid);
#ifdef REACH
      /* Shown to be violated: a second controller gets to write. */
      assert(epoch < 2);
#endif
    }
#ifndef NO_FENCING
    :: atomic { write_epoch != epoch -> holds[_pid] = false; }
#endif
    :: atomic {
#ifndef NO_TOKEN_CHECK
      write_epoch >= highest_token ->
#else
      true ->
#endif
      assert(write_epoch >= highest_token);
      highest_token = write_epoch;
    }
#ifndef NO_TOKEN_CHECK
    :: write_epoch < highest_token -> skip
#endif
    fi;
    write_epoch = 0

  :: atomic { holds[_pid] && !running[_pid] -> holds[_pid] = false }

  :: atomic { holds[_pid] && running[_pid] ->
      /* Graceful shutdown releases the lease. */
      if
      :: holder == _pid && epoch == held_epoch[_pid] ->
        holder = NOBODY; row_version++
      :: else
      fi;
      holds[_pid] = false; running[_pid] = false }

  :: !holds[_pid] && MAY_TAKE_OVER ->
    seen_version = row_version;
    if
    :: atomic { row_version == seen_version && MAY_TAKE_OVER ->
        acquire_commits(); become() }
    :: atomic { row_version == seen_version && MAY_TAKE_OVER ->
        /* Committed, but the answer is lost: the lease is read back. */
        acquire_commits(); running[_pid] = true };
      if
      :: atomic { holder == _pid && running[_pid] -> become() }
      :: atomic { running[_pid] -> running[_pid] = false }
      :: else
      fi
    :: row_version != seen_version
    :: true /* The write never arrives. */
    fi;
    seen_version = 0
  od
}

/* Lets leases lapse: the holder is paused, cut off, or dead. */
active proctype Time() {
  byte i;
  do
  :: atomic { i = 0;
      do
      :: i < ENTRIES - 1 -> i++
      :: break
      od;
      running[i] = false;
      i = 0 }
  od
}
