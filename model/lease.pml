/* Orders of a pool's lease holder (kernel/src/control/PoolController).
 * Time passes in ticks. A holder may be paused for any time between its check and its order; an
 * order is in flight for up to FLIGHT ticks. Variants: -DFENCING, the engine refuses old numbers
 * and pauses are unbounded; without it a pause between check and send lasts at most MARGIN ticks.
 * Broken variants: -DBROKEN with -DFENCING, the engine does not check; -DBROKEN without, a new
 * holder does not wait for orders in flight. */
#define LEASE 3
#define MARGIN 1
#define FLIGHT 1
#define END 14

byte now = 0;
byte fence = 0;          /* in the row: only a new holder raises it */
byte version = 0;        /* of the row: every write raises it */
byte engineFence = 0;    /* highest fencing number that the engine has obeyed */
bool stale = false;      /* the engine obeyed an order of an earlier holder after a later one's */

#ifdef FENCING
#define TAKEOVER (LEASE + MARGIN)
#else
#ifdef BROKEN
#define TAKEOVER (LEASE - MARGIN)
#else
#define TAKEOVER (LEASE + MARGIN + FLIGHT)
#endif
#endif

inline obey(number)
{
  atomic {
#if defined(FENCING) && !defined(BROKEN)
  if
  :: number >= engineFence -> engineFence = number
  :: else                  /* refused */
  fi
#else
  if
  :: number < engineFence -> stale = true
  :: else -> engineFence = number
  fi
#endif
  }
}

proctype Holder()
{
  byte mine = 0;           /* own fencing number while it considers itself the holder */
  byte until = 0;
  byte sentAt = 0;
  byte before = 0;
  byte seen = 0;           /* last row version read, and since when */
  byte seenAt = 0;
  do
  :: now >= END -> break
  :: atomic { mine == 0 && seen != version -> seen = version; seenAt = now }
  :: mine == 0 && now >= seenAt + TAKEOVER && now < END ->
     before = now;
     atomic {
       if
       :: seen == version -> version++; fence++; seen = version; mine = fence; until = before + LEASE
       :: else
       fi }
  :: mine > 0 && now + 2 >= until && now < until ->  /* renew */
     before = now;
     atomic {
       if
       :: seen == version -> version++; seen = version; until = before + LEASE
       :: else -> mine = 0; seen = version; seenAt = now
       fi }
  :: atomic { mine > 0 && now + MARGIN < until -> sentAt = now };   /* check ... */
#ifdef FENCING
     obey(mine)                                      /* ... and send, after a pause of any length */
#else
     atomic { (now <= sentAt + MARGIN + FLIGHT) -> obey(mine) }
#endif
  :: atomic { mine > 0 && now >= until -> mine = 0; seen = version; seenAt = now }
  od
}

proctype Clock()
{
  do
  :: now < END -> now++
  :: now >= END -> break
  od
}

init { atomic { run Holder(); run Holder(); run Clock() } }

/* An order that would arrive later than the longest flight never arrives. */
ltl neverStale { [] (!stale) }
