/* A roll-out's record (kernel/src/site/RolloutController): any instance may move it, by compare-and-set on the version
 * that it has read; commits may lose their answers or take effect late. A roll-out that has been completed or
 * reverted stays so: old upstreams stop at the one, new ones at the other.
 * Broken variant (-DBROKEN): the commit has no condition. */
#define N 3
#define NONE 0
#define UNDER_WAY 1
#define COMPLETED 2
#define REVERTED 3

byte phase = NONE;
byte version = 0;
byte ended = NONE;            /* the end that operators have seen */
byte lateCommits = 0;

inline commit(seen, next)
{
  atomic {
    if
#ifdef BROKEN
    :: true ->
#else
    :: version == seen ->
#endif
       phase = next;
       version++;
       assert(ended == NONE || ended == phase);
       if :: phase == COMPLETED || phase == REVERTED -> ended = phase :: else fi
#ifndef BROKEN
    :: else                                   /* another instance was faster: read again */
#endif
    fi
  }
}

proctype Instance()
{
  byte seen;
  byte known;
  byte tries = 0;
end:
  do
  :: tries < 3 ->
     tries++;
     atomic { seen = version; known = phase };  /* read, perhaps long before the commit */
     if
     :: known == NONE -> commit(seen, UNDER_WAY)
     :: known == UNDER_WAY -> commit(seen, COMPLETED)
     :: known == UNDER_WAY -> commit(seen, REVERTED)
     :: known == UNDER_WAY && lateCommits < 2 ->
        lateCommits++;                          /* the answer is lost; it takes effect later, if at all */
        run Late(seen)
     :: else -> skip
     fi
  :: tries >= 3 -> break
  od
}

proctype Late(byte seen)
{
  if
  :: commit(seen, REVERTED)
  :: skip
  fi
}

init { atomic { byte i = 0; do :: i < N -> run Instance(); i++ :: else -> break od } }
