/* Acceptance across cells and removal of a cell (docs/design.md, 2.10).
 *
 * Cell A edits. Its own rounds, recovery and majority are those of config.pml,
 * so it is one process here. Cell B has three entries that start, stop, die,
 * recover by the store or by a quorum, and may be cut off from the store at
 * any moment, since every read is optional. Its controllers write the row of
 * B in table `cell`. An operator removes B. Within B a ping round and the
 * count of a majority are one step each; config.pml covers late answers.
 *
 * Time is abstract as in config.pml: `accepted` is the version reported as
 * accepted, `in_force` the accepted version after the freshness limit has
 * passed, and a confirmation carries the date of its question.
 *
 * Guarantees (assertions):
 *  1. An entry that serves has applied at least the version in force.
 *  2. The version in the row does not fall while the row exists.
 */
#define MEMBERS 3
#ifndef EDITS
#define EDITS 1
#endif
#ifndef MAX_STARTS
#define MAX_STARTS 5
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif

#define DOWN 0
#define STARTING 1
/* The row of the cell is inserted; the configuration may be read. */
#define INSERTED 2
#define RUNNING 3

byte store = 0;
byte accepted = 0;
byte in_force = 0;
byte a_applied = 0;
byte a_fresh = 0;

byte state[MEMBERS];
byte applied[MEMBERS];
byte fresh[MEMBERS];
bool registered[MEMBERS];
byte starts = 0;

bool row_exists = false;
byte row = 0;
byte epoch = 0;
/* The remover's read of the row is still its newest version. */
bool row_unchanged = false;

#define DATE (accepted + 1)
#define HAS(j, v) (state[j] == RUNNING && applied[j] >= (v))
#define MAJORITY_HAS(v) (HAS(0, v) + HAS(1, v) + HAS(2, v) >= 2)
#define VOUCHES(j, i) (state[j] == RUNNING && applied[j] <= applied[i])

inline touch_row() {
  row = (row_exists -> row : 0);
  row_exists = true; row_unchanged = false
}

inline end_process(i) {
  state[i] = DOWN; applied[i] = 0; fresh[i] = 0
}

proctype EntryOfB(byte self) {
  byte a = (self + 1) % MEMBERS;
  byte b = (self + 2) % MEMBERS;
  /* The controller's write under way: its epoch (0 none) and its value. It
     may take effect after its entry died. */
  byte my_epoch = 0;
  byte sent_under = 0;
  byte value = 0;
  bool row_seen = false;
  do
  :: atomic { state[self] == RUNNING && fresh[self] > in_force ->
      assert(applied[self] >= in_force) }

  /* Starts; registers itself and writes the row in one transaction. */
  :: atomic { state[self] == DOWN && starts < MAX_STARTS ->
      starts++; state[self] = STARTING }
#ifdef READ_BEFORE_ROW
  :: atomic { state[self] == STARTING ->
      applied[self] = store; state[self] = INSERTED }
  :: atomic { state[self] == INSERTED ->
      touch_row(); registered[self] = true; state[self] = RUNNING }
#else
  :: atomic { state[self] == STARTING ->
      touch_row(); registered[self] = true; state[self] = INSERTED }
  :: atomic { state[self] == INSERTED ->
      applied[self] = store; state[self] = RUNNING }
#endif
  /* Recovers from the other members while the store is out of reach. */
  :: atomic { state[self] == STARTING &&
              state[a] == RUNNING && state[b] == RUNNING ->
      applied[self] = (applied[a] > applied[b] -> applied[a] : applied[b]);
      state[self] = RUNNING }

  /* A push from a member, a read of the store. */
  :: atomic { state[self] == RUNNING && state[a] == RUNNING &&
              applied[a] > applied[self] -> applied[self] = applied[a] }
  :: atomic { state[self] == RUNNING && state[b] == RUNNING &&
              applied[b] > applied[self] -> applied[self] = applied[b] }
  :: atomic { state[self] == RUNNING ->
      applied[self] = store; fresh[self] = DATE }
  /* A ping round. */
  :: atomic { state[self] == RUNNING &&
              (VOUCHES(a, self) || VOUCHES(b, self)) -> fresh[self] = DATE }

  /* Takes the lease; then writes what a majority has in force. */
  :: atomic { state[self] == RUNNING && epoch < MAX_EPOCH ->
      epoch++; my_epoch = epoch }
  :: atomic { state[self] == RUNNING && my_epoch > 0 && sent_under == 0 ->
#ifdef ROW_FROM_ONE_MEMBER
      value = applied[self];
#else
      if
      :: MAJORITY_HAS(2) -> value = 2
      :: !MAJORITY_HAS(2) && MAJORITY_HAS(1) -> value = 1
      :: else -> value = 0
      fi;
#endif
      if
      :: value > row && row_exists -> sent_under = my_epoch
      :: else -> value = 0
      fi }
  :: atomic { sent_under > 0 ->
      if
#ifdef NO_EPOCH_CONDITION
      :: row_exists ->
#else
      :: row_exists && sent_under == epoch ->
#endif
        assert(value >= row);
        row = value; row_unchanged = false
      /* It conflicts, or never arrives. */
      :: true
      fi;
      sent_under = 0; value = 0 }

  /* Stops gracefully, or dies. A stop is not recorded while a member runs
     that recovered from its peers and is not registered yet. */
  :: atomic { state[self] == RUNNING &&
#ifndef STOP_BESIDE_UNREGISTERED
              registered[self] &&
              (state[a] != RUNNING || registered[a]) &&
              (state[b] != RUNNING || registered[b]) &&
#endif
              true ->
      end_process(self); registered[self] = false; my_epoch = 0 }
  :: atomic { state[self] != DOWN -> end_process(self); my_epoch = 0 }
  od
}

/* Cell A: edits, applies them, and accepts. */
proctype CellA() {
  bool rows_show = false;
  do
  :: atomic { a_fresh > in_force -> assert(a_applied >= in_force) }
  :: atomic { store < EDITS -> store++ }
  :: atomic { a_applied = store; a_fresh = DATE }
  /* Reads the rows once its own majority has the version; the answer may be
     late. */
#ifdef ROWS_BEFORE_MAJORITY
  :: atomic { !rows_show && accepted < EDITS &&
#else
  :: atomic { !rows_show && a_applied > accepted &&
#endif
#ifdef OWN_CELL_ONLY
              true ->
#else
              (!row_exists || row > accepted) ->
#endif
      rows_show = true }
  :: atomic { rows_show && a_applied > accepted ->
#ifdef REACH
      assert(!row_exists);
#endif
      accepted++; rows_show = false }
  /* The freshness limit passes. */
  :: atomic { in_force < accepted -> in_force = accepted }
  od
}

/* Reads the row, then the registrations, then deletes the row if it is still
   the one read. With --force the operator states that all entries are gone. */
proctype Remover() {
  bool permitted = false;
  do
  :: atomic { !permitted && row_exists -> row_unchanged = true }
  :: atomic { !permitted && row_unchanged &&
#ifdef REMOVE_SERVING
              true ->
#else
              ((!registered[0] && !registered[1] && !registered[2]) ||
               (state[0] == DOWN && state[1] == DOWN && state[2] == DOWN)) ->
#endif
      permitted = true }
  :: atomic { permitted ->
      if
#ifdef REMOVE_WITHOUT_CONDITION
      :: true ->
#else
      :: row_unchanged ->
#endif
        row_exists = false; row = 0
#ifdef REACH_REMOVED
        ; assert(false)
#endif
      :: true
      fi;
      permitted = false; row_unchanged = false }
  od
}

init {
  atomic {
    run EntryOfB(0); run EntryOfB(1); run EntryOfB(2);
    run CellA(); run Remover()
  }
}
