/* At-most-once sends of a keyed request (docs/design.md, 2.6).
 *
 * A caller sends the same key through ENTRIES entries at once or one after
 * the other. The record row has a version and a state. Every write of it is
 * conditional; its answer may be lost and its effect may come late, even after
 * the entry has given up or died. The backend server may run a request that
 * it received and lose the response.
 *
 * Guarantees (assertions):
 *  1. The request runs at most once.
 *  2. An attempt whose caller was told "not run" did not run, then or later.
 */
#ifndef ENTRIES
#define ENTRIES 3
#endif

mtype = { absent, pending, answered, unknown, not_run };

mtype state = absent;
byte version = 0;
/* The attempt that the record names, its nonce. */
byte owner = ENTRIES;

byte runs = 0;
bool ran[ENTRIES];
bool told_not_run[ENTRIES];
byte told = 0;

#define MAX_VERSION 6
#define CLAIMABLE(s) (s == absent || s == not_run)

inline run_request() {
  runs++; ran[self] = true;
  assert(runs <= 1);
  assert(!told_not_run[self])
}

inline tell_not_run() {
  told_not_run[self] = true;
  assert(!ran[self])
}

/* The conditional write of the record takes effect or not, at any time. */
proctype RecordWrite(byte self; byte required) {
  if
#ifdef NO_RECORD_CONDITION
  :: atomic { version < MAX_VERSION ->
#else
  :: atomic { version == required && version < MAX_VERSION ->
#endif
      state = pending; owner = self; version++ }
  :: true
  fi
}

/* Marks the record not-run later, after the caller was told so. */
proctype MarkNotRun(byte self; byte required) {
  if
#ifdef MARK_WITHOUT_CONDITION
  :: atomic { version < MAX_VERSION ->
#else
  :: atomic { version == required && state == pending && owner == self &&
              version < MAX_VERSION ->
#endif
      state = not_run; owner = ENTRIES; version++ }
  :: true
  fi
}

proctype Entry(byte self) {
  byte seen;
  byte sends = 0;
  bool recorded = false;
#ifdef SEND_BEFORE_RECORD
  atomic { run_request() };
#endif
  /* Reads the record. */
  atomic {
    if
#ifdef CLAIM_PENDING
    :: CLAIMABLE(state) || state == pending -> seen = version
#else
    :: CLAIMABLE(state) -> seen = version
#endif
    :: else -> goto end  /* in progress, the answer, or outcome unknown */
    fi
  };
  run RecordWrite(self, seen);
  /* The answer comes, or it is lost and the record is read back. */
  if
  :: atomic { state == pending && owner == self -> recorded = true }
  :: atomic { version != seen && owner != self -> goto end }
#ifdef SEND_ON_LOST_ANSWER
  :: true -> recorded = true
#endif
  :: true ->
    /* The result stays unknown: nothing was sent, so "not run" holds. */
    atomic { tell_not_run() };
    if
    :: atomic { state == pending && owner == self ->
        /* Sent twice: the first answer is lost. */
        run MarkNotRun(self, version); run MarkNotRun(self, version) }
    :: true
    fi;
    goto end
  :: goto end /* The entry dies. */
  fi;

send:
  sends++;
  if
  :: atomic { run_request() };
    if
    :: atomic { state == pending && owner == self && version < MAX_VERSION ->
        state = answered; version++ }; goto end
    /* The response is lost. */
    :: atomic { state == pending && owner == self && version < MAX_VERSION ->
        state = unknown; version++ }; goto end
#ifdef RETRY_AFTER_UNKNOWN
    :: sends < 2 -> goto send
#endif
#ifdef NOT_RUN_AFTER_UNKNOWN
    :: atomic { tell_not_run() }; run MarkNotRun(self, version); goto end
#endif
    :: goto end /* The entry dies before it writes the answer. */
    fi
  :: sends < 2 -> goto send /* not_sent or refused: sent again */
  :: atomic { tell_not_run() };
    run MarkNotRun(self, version)
  :: true /* The entry dies. */
  fi;
end:
#ifdef REACH
  assert(!(runs == 1 && told_not_run[self] && state == answered))
#else
  skip
#endif
}

init {
  byte i = 0;
  atomic {
    do
    :: i < ENTRIES -> run Entry(i); i++
    :: else -> break
    od
  }
}
