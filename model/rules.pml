/* Rules in force everywhere, never reverting (kernel/src/control/RulesStore, ControlThread).
 * Two editors compare-and-set the head; three instances learn of versions by polling or from a peer;
 * the platform may be out; an instance may be cut off or restart with an empty memory.
 * Broken variant (-DBROKEN): a starting instance accepts requests before it has read any rules. */
#define N 3
#define EDITS 2

byte head = 0;               /* version in the table */
byte inForce[N];
bool working[N];             /* accepts requests */
bool platformUp = true;
byte accepted = 0;           /* highest version reported to an operator as accepted */
byte restarts = 0;
byte outages = 0;

proctype Editor()
{
  byte base;
  byte target;
endIdle:
  do
  :: head < EDITS && platformUp ->
     base = head;
     atomic {
       if
       :: platformUp && head == base -> head = base + 1; target = head
       :: else -> target = 0                /* lost the race, or no answer */
       fi
     };
     if
     :: target > 0 ->
        /* accepted is said only when every instance that may work has it in force */
endWaiting:
        atomic {
          (inForce[0] >= target && inForce[1] >= target && inForce[2] >= target) ->
          if :: accepted < target -> accepted = target :: else fi
        }
     :: else
     fi
  :: head >= EDITS -> break
  od
}

#define learn(peer) atomic { peer != me && working[peer] && inForce[peer] >= inForce[me] -> \
  inForce[me] = inForce[peer]; working[me] = true }

proctype Instance(byte me)
{
end:
  do
  :: atomic { platformUp && head > inForce[me] -> inForce[me] = head }           /* poll */
  :: atomic { platformUp && !working[me] -> inForce[me] = (head > inForce[me] -> head : inForce[me]); working[me] = true }
  :: learn(0) :: learn(1) :: learn(2)                                            /* from a peer */
  :: atomic { restarts < 2 -> restarts++; inForce[me] = 0;                        /* killed and started again */
#ifdef BROKEN
       working[me] = true
#else
       working[me] = false
#endif
     }
  :: atomic { working[me] ->                                                     /* serves a request */
       assert(inForce[me] >= accepted) }
  od
}

proctype Outage()
{
end:
  do
  :: atomic { platformUp && outages < 2 -> platformUp = false; outages++ }
  :: atomic { !platformUp -> platformUp = true }
  od
}

init {
  atomic {
    working[0] = true; working[1] = true; working[2] = true;
    run Editor(); run Editor(); run Instance(0); run Instance(1); run Instance(2); run Outage()
  }
}
