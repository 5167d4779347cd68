/* At most one run of a call that must not be repeated (libs/claims).
 * Two attempts with one key at two instances; writes may lose their answer before or after the
 * effect, or take effect late; holders crash or pause at any step (a pause is any interleaving).
 * Broken variant (-DBROKEN): a claim whose holder is silent is taken over. */
#define ATTEMPTS 2
#define ABSENT 0
#define CLAIMED 1
#define RELEASED 2
#define DONE 3

byte state = ABSENT;   /* the claim row */
byte owner = 0;        /* attempt that wrote it, from 1 */
byte version = 0;
byte runs = 0;         /* executions at the service */
bool ran[ATTEMPTS + 1];
bool saidNotRun[ATTEMPTS + 1];
bool latePending[ATTEMPTS + 1];   /* a claim write that is still on its way */
byte lateExpected[ATTEMPTS + 1];

inline setRow(s, o) { state = s; owner = o; version++ }

/* A claim write that expects row version `expected`. */
inline claimWrite(me, expected, outcome)
{
  if
  :: atomic { (version == expected) -> setRow(CLAIMED, me); outcome = 1 }   /* applied, answered */
  :: atomic { (version != expected) -> outcome = 2 }                        /* refused, answered */
  :: atomic { (version == expected) -> setRow(CLAIMED, me); outcome = 0 }   /* applied, answer lost */
  :: outcome = 0                                                            /* lost before */
  :: atomic { latePending[me] = true; lateExpected[me] = expected; outcome = 0 }
  fi
}

proctype LateWriter(byte me)
{
end:
  do
  :: atomic { latePending[me] ->
       latePending[me] = false;
       if :: version == lateExpected[me] -> setRow(CLAIMED, me) :: else fi }
  od
}

proctype Attempt(byte me)
{
  byte outcome = 0;
  byte seen = 0;
  byte tries = 0;
again:
  /* Insert if absent first; after a released row was seen, replace that version. */
  claimWrite(me, seen, outcome);
  if
  :: outcome == 0 ->                       /* the answer was lost: read the row */
     atomic {
       if
       :: owner == me && state == CLAIMED -> outcome = 1
       :: else -> outcome = 3              /* unavailable */
       fi
     }
  :: outcome == 2 ->
     atomic {
       if
       :: owner == me && state == CLAIMED -> outcome = 1
       :: state == RELEASED && tries == 0 -> seen = version; outcome = 4
#ifdef BROKEN
       :: state == CLAIMED && owner != me && tries == 0 -> seen = version; outcome = 4
#endif
       :: else -> outcome = 5              /* replay or in doubt: nothing said of not run */
       fi
     }
  :: outcome == 1 -> skip
  fi;
  if
  :: outcome == 4 -> tries++; goto again
  :: outcome == 5 -> goto finished
  :: outcome == 3 ->
     saidNotRun[me] = true;                /* refuse with not_run ... */
     if                                    /* ... and make sure that a late write finds another version */
     :: atomic {
          if
          :: (owner == me && state == CLAIMED) -> setRow(RELEASED, me)
          :: (state == ABSENT || state == RELEASED) -> setRow(RELEASED, me)
          :: else
          fi }
     :: skip                               /* the instance dies first: the claim stays in doubt */
     fi;
     goto finished
  :: outcome == 1
  fi;
  if
  :: skip -> goto finished                 /* crash before anything is sent */
  :: atomic { (owner == me && state == CLAIMED) -> setRow(RELEASED, me); saidNotRun[me] = true };
     goto finished                         /* no upstream took a byte */
  :: atomic { runs++; ran[me] = true }     /* the service runs it; the answer may be lost */
  fi;
  if
  :: skip                                  /* crash after the run */
  :: atomic { (owner == me && state == CLAIMED) -> setRow(DONE, me) }
  fi;
finished:
  assert(runs <= 1);
  assert(!(saidNotRun[me] && ran[me]))
}

init { atomic { run Attempt(1); run Attempt(2); run LateWriter(1); run LateWriter(2) } }
