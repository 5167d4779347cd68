/* One attempt of a caller that must not run twice (kernel/src/relay/RequestForwarder, ExecutionTracker): connections
 * fail, upstreams turn it away and say so, run it and answer, or run it while the answer is lost.
 * It runs at most once, and what is refused as not run has not run and never will.
 * Broken variant (-DBROKEN): a lost answer is taken for a connection that failed. */
#define MOST_SENDS 2

byte runs = 0;
byte open = 0;       /* ExecutionTracker: sends that may have run */
byte sends = 0;
bool refused = false;
bool ended = false;

proctype Upstream()
{
  /* A request that was sent may run long after its connection has gone. */
  if
  :: atomic { runs++; assert(runs <= 1); assert(!refused) }
  :: skip
  fi
}

init
{
  do
  :: ended -> break
  :: !ended && sends < MOST_SENDS ->
     open++;
     if
     :: open--                                      /* no connection: nothing has left */
     :: sends++; open--                             /* turned away: "not run, and never will be" */
     :: sends++; atomic { runs++; assert(runs <= 1) }; ended = true   /* answered */
     :: sends++; run Upstream();                    /* the answer is lost, or too late */
#ifdef BROKEN
        open--
#else
        ended = true
#endif
     fi
  :: !ended ->                                      /* gives up */
     if
     :: open == 0 -> atomic { refused = true; assert(runs == 0) }
     :: else -> skip                                /* 502: promises nothing */
     fi;
     ended = true
  od
}
