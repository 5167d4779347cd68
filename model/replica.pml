/* Records received from the store and from peers (libs/replica, kernel/src/site/RecordGossip): messages
 * cross, come late and come twice. An instance never goes back to an older version.
 * Broken variant (-DBROKEN): the last message received counts. */
#define N 2
#define VERSIONS 3

byte store = 1;
byte known[N];
chan net = [4] of { byte, byte };   /* receiver, version */

inline take(me, told)
{
  atomic {
#ifdef BROKEN
    if :: true -> assert(told >= known[me]); known[me] = told fi
#else
    if
    :: told > known[me] ->
       known[me] = told;
       if :: nfull(net) -> net ! 1 - me, told :: full(net) fi
    :: else
    fi
#endif
  }
}

proctype Operator()
{
  do
  :: atomic { store < VERSIONS -> store++ }
  :: store >= VERSIONS -> break
  od
}

proctype Instance(byte me)
{
  byte told;
  byte before;
end:
  do
  :: atomic { before = known[me]; told = store };                /* an answer of the store on its way */
     if
     :: take(me, told)
     :: nfull(net) -> net ! 1 - me, told                         /* forwarded to the peer instead */
     fi;
     assert(known[me] >= before)
  :: atomic { net ?? [eval(me), told] -> net ?? eval(me), told };
     before = known[me];
     take(me, told);
     assert(known[me] >= before)
  od
}

init { atomic { run Operator(); run Instance(0); run Instance(1) } }
