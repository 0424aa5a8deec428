/* Leases through the log: claimLease, renewLease, loseAnswer, freeze, thaw, act.
 *
 * Three instances compete for one scope. The log puts landed frames in order; each instance
 * reads them in that order at its own pace. Time is a global tick that every timer sees; the
 * challenger's clock may gain one tick over a lease, which the margin has to cover.
 *
 * Properties (assertions):
 *   oneHolder      no instance sends while another may still send
 *   epochsAscend   orders reach the endpoint with ascending epochs
 * Mutants: see mutants.txt.
 */

#define N 3
#define LEASE 3
#define MARGIN 1
#ifndef MAXLOG
#define MAXLOG 5
#endif

#define NOBODY N

/* Kinds of frames. */
#define CLAIM 1
#define RENEW 2

/* The log: landed frames in order. */
byte logKind[MAXLOG];
byte logWho[MAXLOG];
byte logSupersedes[MAXLOG];
byte logSize = 0;

#ifdef MUTANT_CLAIM_WITHOUT_WAITING
#define MAY_CLAIM(i) true
#else
#define MAY_CLAIM(i) (viewHolder[i] == NOBODY || watched[i] >= LEASE + MARGIN)
#endif

#ifdef MUTANT_CLAIM_IGNORES_ORDER
#define CLAIM_COUNTS(i) true
#else
#define CLAIM_COUNTS(i) (logSupersedes[readTo[i]] == viewLast[i])
#endif

/* What State::apply makes of the log, at the log itself. */
byte lastEpochSeen = 0; /* highest epoch that the endpoint has seen */

/* Each instance's own replay. Offsets count from 1; 0 is "none". */
byte readTo[N];
byte viewHolder[N];
byte viewLast[N];   /* offset that a claim has to name */
byte viewEpoch[N];
byte watched[N];    /* ticks since the holder's last frame was read */
byte validFor[N];   /* ticks for which this instance may still act */

/* At most one frame of an instance is on its way (group commit). */
bool flying[N];     /* sent and not yet read back */
bool landed[N];
byte flyKind[N];
byte flySupersedes[N];
byte flyAge[N];     /* ticks since it was first sent */

bool frozen[N];
bool checked[N];    /* the check before a send has passed; the send has not happened */
byte freezes = 0;
byte fastTicks = 1; /* ticks that challengers' clocks may still gain */

inline othersMayAct(i, result)
{
    result = false;
    byte j;
    for (j : 0 .. N - 1) {
        if
        :: j != i && validFor[j] > 0 -> result = true
        :: else
        fi
    }
}

/* One step of State::apply on the instance's own replay. */
inline applyNext(i)
{
    byte off = readTo[i] + 1;
    byte k = logKind[readTo[i]];
    byte w = logWho[readTo[i]];
    bool mine = (w == i && flying[i] && landed[i]);
    if
    :: k == CLAIM ->
        if
        :: CLAIM_COUNTS(i) ->
            viewHolder[i] = w; viewLast[i] = off; viewEpoch[i] = off; watched[i] = 0;
            if
            :: w != i -> validFor[i] = 0; checked[i] = false
            :: else
            fi
        :: else
        fi
    :: k == RENEW && w == viewHolder[i] -> viewLast[i] = off; watched[i] = 0
    :: else
    fi;
    if
    :: mine ->
        flying[i] = false; landed[i] = false;
        if
        :: viewHolder[i] == i ->
#ifdef MUTANT_LEASE_FROM_READING
            validFor[i] = LEASE
#else
            if
            :: flyAge[i] < LEASE -> validFor[i] = LEASE - flyAge[i]
            :: else -> skip
            fi
#endif
        :: else
        fi;
        flyAge[i] = 0
    :: else
    fi;
    readTo[i] = off
}

proctype instance(byte i)
{
    bool others;
end:
    do
    /* read the next record of the log */
    :: atomic { !frozen[i] && readTo[i] < logSize -> applyNext(i) }

    /* claimLease */
    :: atomic { !frozen[i] && !flying[i] && viewHolder[i] != i && MAY_CLAIM(i) ->
           flying[i] = true; landed[i] = false; flyAge[i] = 0;
           flyKind[i] = CLAIM; flySupersedes[i] = viewLast[i] }

    /* renewLease */
    :: atomic { !frozen[i] && !flying[i] && viewHolder[i] == i ->
           flying[i] = true; landed[i] = false; flyAge[i] = 0;
           flyKind[i] = RENEW; flySupersedes[i] = 0 }

    /* act: the check, then the send; a freeze may come between them */
    :: atomic { !frozen[i] && !checked[i] && validFor[i] > 0 && viewHolder[i] == i -> checked[i] = true }
    :: atomic { !frozen[i] && checked[i] ->
           othersMayAct(i, others);
           assert(!others);                          /* oneHolder */
           assert(viewEpoch[i] >= lastEpochSeen);    /* epochsAscend */
           lastEpochSeen = viewEpoch[i];
           checked[i] = false }

    :: atomic { !frozen[i] && freezes < 1 -> freezes++; frozen[i] = true }  /* freeze */
    :: atomic { frozen[i] -> frozen[i] = false }                            /* thaw */
    od
}

/* The network and the log service: a frame lands late, or never (then the instance sends the
 * same frame again, which is the same as landing later). */
proctype platform()
{
    byte i;
end:
    do
    :: atomic { logSize < MAXLOG ->
           select(i : 0 .. N - 1);
           if
           :: flying[i] && !landed[i] ->
               logKind[logSize] = flyKind[i];
               logWho[logSize] = i;
               logSupersedes[logSize] = flySupersedes[i];
               logSize++;
               landed[i] = true
           :: else
           fi }
    od
}

proctype time()
{
    byte i;
end:
    do
    :: atomic {
           for (i : 0 .. N - 1) {
               if
               :: watched[i] < LEASE + MARGIN -> watched[i]++
               :: else
               fi;
               if
               :: watched[i] < LEASE + MARGIN && fastTicks > 0 -> watched[i]++; fastTicks--
               :: true
               fi;
               if
               :: flying[i] && flyAge[i] < LEASE -> flyAge[i]++
               :: else
               fi;
               if
               :: validFor[i] > 0 -> validFor[i]--
               :: else
               fi;
#ifndef MUTANT_NO_FREEZE_GUARD
               /* The timer at the lease's end resets the connection before a thawed thread can send. */
               if
               :: validFor[i] == 0 -> checked[i] = false
               :: else
               fi
#endif
           }
       }
    od
}

init {
    byte i;
    atomic {
        for (i : 0 .. N - 1) {
            viewHolder[i] = NOBODY
        }
        run instance(0); run instance(1); run instance(2); run platform(); run time()
    }
}
