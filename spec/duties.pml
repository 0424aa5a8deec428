/* The duties' lease of the gateway towards receivers that compare no fencing numbers: claim, renew,
 * release, cutCall, freeze.
 *
 * Two instances share one log, which is appended to only with the expected end, so that a claim
 * counts only if its writer has read the holder's last record. A call of a duty is first permitted,
 * then written, and then on its way; receivers take it as it arrives. Times are countdowns of a
 * tick that all see, the drift of clocks taken in. An instance may stop for any time between any two
 * steps (freeze); its kernel goes on sending what was written.
 *
 * Properties: oneActor (no call leaves while the other instance may act), numbersAscend (no call of
 * an older number arrives after one of a newer), noTurns (holders do not act in turns within a
 * lease). Mutants: see the file "mutants".
 */

#include "property.h"

#define N 2
#define NOBODY N
#define LEASE 3
#define MARGIN 1
#define VALID (LEASE - MARGIN)
#define WAIT (LEASE + MARGIN)
#define MAXNUMBER 4

/* Stages of an instance's call. */
#define NONE 0
#define PERMITTED 1 /* checked, not written */
#define WRITTEN 2   /* with the kernel */

byte holder = NOBODY;
byte number = 0;
byte lastHolder = NOBODY;

byte ownNumber[N];
byte valid[N];     /* ticks for which it may still act */
byte wait[N];      /* ticks until it may claim from the holder that it sees */
bool upToDate[N];
bool stopping[N];
byte call[N];
byte callNumber[N];
byte sinceAct[N];  /* ticks until its last act is a lease ago */

byte seenNumber = 0;
byte lastActor = NOBODY;
byte actorBefore = NOBODY;

#define OTHER(i) (1 - i)

/* Not in turns with another holder within a lease. */
#ifdef MUTANT_CLAIM_BACK_AT_ONCE
#define MAY_RETURN(i) true
#else
#define MAY_RETURN(i) (lastHolder != OTHER(i) || sinceAct[i] == 0)
#endif

#ifdef MUTANT_PERMIT_FOR_ANY_NUMBER
#define OLD_NUMBER(i) false
#else
#define OLD_NUMBER(i) (callNumber[i] != ownNumber[i])
#endif

#ifdef MUTANT_RELEASE_WITH_CALLS
#define MAY_RELEASE(i) true
#else
#define MAY_RELEASE(i) (call[i] == NONE)
#endif

inline newRecord(i)
{
    upToDate[OTHER(i)] = false;
    upToDate[i] = true
}

inline arrive(i)
{
    CHECK_numbersAscend(callNumber[i] >= seenNumber);
    CHECK_noTurns(!(lastActor == OTHER(i) && actorBefore == i && sinceAct[i] > 0));
    seenNumber = callNumber[i];
    if
    :: lastActor != i -> actorBefore = lastActor; lastActor = i
    :: else
    fi;
    sinceAct[i] = LEASE;
    call[i] = NONE
}

proctype instance(byte i)
{
end:
    do
    /* read */
    :: d_step { !upToDate[i] ->
           upToDate[i] = true;
           if
           :: holder == NOBODY -> wait[i] = 0
           :: holder != NOBODY && holder != i -> wait[i] = WAIT; valid[i] = 0
           :: else
           fi }

    /* claim: the log ends where this instance has read to */
    :: d_step { upToDate[i] && holder != i && !stopping[i] && number < MAXNUMBER && wait[i] == 0 && MAY_RETURN(i) ->
           holder = i; lastHolder = i; number++; ownNumber[i] = number; valid[i] = VALID;
           newRecord(i) }

    /* renew */
    :: d_step { upToDate[i] && holder == i && !stopping[i] && valid[i] > 0 -> valid[i] = VALID; newRecord(i) }

    /* stop, and release once no call is under way */
    :: d_step { holder == i && !stopping[i] -> stopping[i] = true
#ifndef MUTANT_ACTS_WHILE_STOPPING
           ; valid[i] = 0
#endif
       }
    :: d_step { holder == i && upToDate[i] && stopping[i] && MAY_RELEASE(i) -> holder = NOBODY; newRecord(i) }

    /* started again after a planned stop */
    :: d_step { stopping[i] && holder != i && call[i] == NONE -> stopping[i] = false; valid[i] = 0 }

    /* a call: permit, write, end */
    :: d_step { call[i] == NONE && valid[i] > 0 -> call[i] = PERMITTED; callNumber[i] = ownNumber[i] }
    :: d_step { call[i] == PERMITTED ->
           if
#ifndef MUTANT_CHECKED_ONCE
           :: valid[i] == 0 || OLD_NUMBER(i) -> call[i] = NONE /* withdrawn */
           :: else -> CHECK_oneActor(valid[OTHER(i)] == 0); call[i] = WRITTEN
#else
           :: true -> CHECK_oneActor(valid[OTHER(i)] == 0); call[i] = WRITTEN
#endif
           fi }
    od
}

/* The network: bytes arrive within the margin, for as long as the connection is not reset. */
proctype network()
{
end:
    do
    :: d_step { call[0] == WRITTEN -> arrive(0) }
    :: d_step { call[1] == WRITTEN -> arrive(1) }
    od
}

proctype time()
{
    byte j;
end:
    do
    /* What was written arrives within the margin or is reset with the lease's end. */
    :: d_step { true ->
           j = 0;
           do
           :: j < N ->
               if :: wait[j] > 0 -> wait[j]-- :: else fi;
               if :: sinceAct[j] > 0 -> sinceAct[j]-- :: else fi;
#ifndef MUTANT_CLOSED_WITHOUT_RESET
               if :: call[j] == WRITTEN && valid[j] == 0 -> call[j] = NONE :: else fi;
#endif
               if :: valid[j] > 0 -> valid[j]-- :: else fi;
               j++
           :: else -> break
           od
       }
    od
}

init {
    atomic { run instance(0); run instance(1); run network(); run time() }
}
