/* One receipt for each request (libs/receipts, kernel ReceiptWriter and AbandonedReceiptSweeper).
 * One request: its owner opens a record, has it copied to a peer or flushed to the table, delivers,
 * closes, flushes; it may crash or pause anywhere. The peer, which rightly or wrongly considers
 * the owner dead, flushes its copy under the same key and later closes what is open.
 * Broken variant (-DBROKEN): the first byte goes out before the record is durable. */
#define NONE 0
#define OPEN 1
#define ABANDONED 2
#define FINISHED 3

byte row1 = NONE;       /* highest record of the request in the row of batch 1 */
bool row1Exists = false;
byte row2 = NONE;       /* the same in batch 2, which carries what a flushed batch 1 lacked */
byte finalRow = NONE;   /* written by the closer */
byte copy = NONE;       /* at the peer */
bool delivered = false;
bool crashed = false;
bool ownerDone = false;
bool peerFlushed = false;
bool closerDone = false;

proctype Owner()
{
  byte mine = OPEN;      /* best record that waits in batch 1 */
  bool safe = false;
  byte tries = 0;
  /* open: copy to the peer, or flush, or both fail */
  do
  :: !safe -> if
     :: atomic { copy = OPEN; safe = true }                     /* copied and acknowledged */
     :: atomic { copy = OPEN }                                  /* copied, acknowledgement lost */
     :: atomic { if :: !row1Exists -> row1Exists = true; row1 = OPEN :: else fi; safe = true } /* flushed */
     :: tries < 2 -> tries++                                    /* neither answers */
     :: crashed = true; goto dead
     fi
#ifdef BROKEN
  :: !safe -> break
#endif
  :: safe -> break
  od;
  delivered = true;
  if :: crashed = true; goto dead :: skip fi;
  mine = FINISHED;
  /* flush until the table has it; an existing row lacks the closing: it goes into batch 2 */
  atomic {
    if
    :: !row1Exists -> row1Exists = true; row1 = FINISHED
    :: row1Exists && row1 == FINISHED
    :: row1Exists && row1 != FINISHED -> mine = FINISHED; row2 = FINISHED
    fi
  };
  if :: crashed = true; goto dead :: skip fi;   /* a lost answer: the same key is written again */
  atomic { if :: row1Exists && row1 != FINISHED -> row2 = FINISHED :: else fi };
dead:
  ownerDone = true
}

/* The peer flushes its copy when the owner is silent, which says nothing about its end. */
proctype Peer()
{
  if
  :: atomic { copy != NONE -> if :: !row1Exists -> row1Exists = true; row1 = copy :: else fi; peerFlushed = true }
  :: ownerDone && (!crashed || copy == NONE) -> peerFlushed = true
  fi
}

/* After twice the time, one instance closes what is open in the rows, once. */
proctype Closer()
{
  peerFlushed;
  if
  :: atomic { (row1 == OPEN && row2 == NONE) -> finalRow = ABANDONED }
  :: ownerDone && !(row1 == OPEN && row2 == NONE)
  fi;
  closerDone = true
}

inline max3(a, b, c, best)
{
  best = a;
  if :: b > best -> best = b :: else fi;
  if :: c > best -> best = c :: else fi
}

init {
  byte bill;
  atomic { run Owner(); run Peer(); run Closer() };
  (ownerDone && peerFlushed && closerDone);
  max3(row1, row2, finalRow, bill);
  assert(!delivered || bill != NONE);       /* what was delivered is billed */
  assert(!delivered || bill != OPEN);       /* and its receipt is closed */
  assert(crashed || bill == FINISHED)       /* an owner that lived billed it as it was */
}
