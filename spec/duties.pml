/* The lease of the gateway's duties when receivers do not compare fencing numbers: claim, renew,
 * release, cutCall, freeze.
 *
 * Two instances share one log. An append succeeds only with the expected end of the log, so that a
 * claim is accepted only if its writer has read the holder's last record. A duty's call is first
 * permitted, then written, and then in flight; receivers process it on arrival. Times are countdowns
 * in ticks of a common clock and include clock drift. An instance may pause for any time between any
 * two steps (freeze); its kernel continues to send what was written.
 *
 * Properties: oneActor (no call is written while the other instance may act), numbersAscend (no call
 * arrives after one with a newer fencing number), noTurns (holders do not alternate within one lease
 * time). Mutants: see the file "mutants".
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
#define PERMITTED 1 /* permission checked, not written */
#define WRITTEN 2   /* passed to the kernel */

byte holder = NOBODY;
byte number = 0;
byte lastHolder = NOBODY;

byte ownNumber[N];
byte valid[N];     /* ticks left for which it may act */
byte wait[N];      /* ticks until it may claim from the current holder */
bool upToDate[N];
bool stopping[N];
byte call[N];
byte callNumber[N];
byte sinceAct[N];  /* ticks until a lease time has passed since its last call arrived */

byte seenNumber = 0;
byte lastActor = NOBODY;
byte actorBefore = NOBODY;

#define OTHER(i) (1 - i)

/* An instance does not claim back from the other holder within a lease time. */
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
    /* read the log */
    :: d_step { !upToDate[i] ->
           upToDate[i] = true;
           if
           :: holder == NOBODY -> wait[i] = 0
           :: holder != NOBODY && holder != i -> wait[i] = WAIT; valid[i] = 0
           :: else
           fi }

    /* claim: succeeds only if this instance has read to the end of the log */
    :: d_step { upToDate[i] && holder != i && !stopping[i] && number < MAXNUMBER && wait[i] == 0 && MAY_RETURN(i) ->
           holder = i; lastHolder = i; number++; ownNumber[i] = number; valid[i] = VALID;
           newRecord(i) }

    /* renew */
    :: d_step { upToDate[i] && holder == i && !stopping[i] && valid[i] > 0 -> valid[i] = VALID; newRecord(i) }

    /* stop, and release once no call is in progress */
    :: d_step { holder == i && !stopping[i] -> stopping[i] = true
#ifndef MUTANT_ACTS_WHILE_STOPPING
           ; valid[i] = 0
#endif
       }
    :: d_step { holder == i && upToDate[i] && stopping[i] && MAY_RELEASE(i) -> holder = NOBODY; newRecord(i) }

    /* restarted after a planned stop */
    :: d_step { stopping[i] && holder != i && call[i] == NONE -> stopping[i] = false; valid[i] = 0 }

    /* a call: permission, then writing or cancellation */
    :: d_step { call[i] == NONE && valid[i] > 0 -> call[i] = PERMITTED; callNumber[i] = ownNumber[i] }
    :: d_step { call[i] == PERMITTED ->
           if
#ifndef MUTANT_CHECKED_ONCE
           :: valid[i] == 0 || OLD_NUMBER(i) -> call[i] = NONE /* cancelled */
           :: else -> CHECK_oneActor(valid[OTHER(i)] == 0); call[i] = WRITTEN
#else
           :: true -> CHECK_oneActor(valid[OTHER(i)] == 0); call[i] = WRITTEN
#endif
           fi }
    od
}

/* The network: bytes arrive within the margin unless the connection is reset. */
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
    /* Written bytes arrive within the margin or are dropped by the reset at the end of the lease. */
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
