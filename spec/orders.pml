/* Order slots of one endpoint: openOrder, sendOrder, closeOrder, freeze, thaw.
 *
 * Processes 0 and 1 compete to send orders; process 2 replaces process 0 after it ends, at the same
 * address. Leases are assumed as verified in lease.pml: no process claims while another may act.
 * Bytes that were sent arrive at any later time or never, and the response may be lost. A process may
 * pause between any two steps (freeze, thaw); its guard timer keeps running.
 *
 * Properties: noConflictingOrders, senderHadAuthority. Mutants: see the file "mutants".
 */

#include "property.h"

#define N 3
#define NOBODY N
#define MAXSLOT 3
#define MAXEPOCH 3
#define BYTES 1   /* ticks for which bytes of an ended process may be in flight */

/* Records in flight to the log, at most one per process. */
#define NONE 0
#define OPENED 1
#define DONE 2         /* or Refused: the sender received the outcome */
#define NEVER_SENT 3
#define FENCED 4
#define SENDER_GONE 5
#define REPLACED 6

/* State of the log. */
byte holder = NOBODY;
byte epoch = 0;
byte slot = 0;
bool open = false;
byte sender;
byte orderEpoch;
bit orderAddress;
bool gone = false;     /* the log records that process 0 stopped or was replaced */
bit listed = 0;        /* address of the endpoint in the configuration */
bool moved = false;

/* Processes. */
bool running[N];
bool mayAct[N];
byte record[N];
byte seenSlot[N];      /* own order last read back as opened, with its epoch and address */
byte seenEpoch[N];
bit seenAddress[N];
byte sentSlot[N];
bool checked[N];
bool known[N];         /* the outcome of seenSlot was received */
byte goneWait[N];      /* BYTES + 1: not yet read as gone */

/* Orders in flight, by slot. */
byte bytes[MAXSLOT + 1];
byte bytesOf[MAXSLOT + 1];
byte bytesEpoch[MAXSLOT + 1];
bit bytesTo[MAXSLOT + 1];
byte linger = 0;

/* Endpoints by address. */
bool checksFencing;
byte lastAccepted[2];
byte newestEpoch[2];

hidden byte k;
hidden byte others;

#define closeSlot() \
    open = false; sender = 0; orderEpoch = 0; orderAddress = 0; \
    voidRecords(record[k] > OPENED)

#define countOthers(p) \
    others = 0; k = 0; \
    do \
    :: k < N -> if :: k != p && mayAct[k] -> others++ :: else fi; k++ \
    :: else -> break \
    od

#ifdef MUTANT_FENCED_WITHOUT_CHECKING
#define FENCED_OUT (epoch > orderEpoch)
#else
#define FENCED_OUT (epoch > orderEpoch && checksFencing && orderAddress == listed)
#endif

#ifdef MUTANT_TAKE_OVER_FROM_LIVING
#define GONE_FOR_SURE true
#else
#define GONE_FOR_SURE (sender == 0 && gone)
#endif

#ifdef MUTANT_NO_WAIT_FOR_BYTES
#define BYTES_ARE_GONE(p) true
#else
#define BYTES_ARE_GONE(p) (goneWait[p] == 0)
#endif

#ifdef MUTANT_SEND_BEFORE_SEEN
#define SEEN_OPEN(p) (record[p] == OPENED && seenSlot[p] <= slot)
#else
#define SEEN_OPEN(p) (open && sender == p && seenSlot[p] < slot)
#endif

#ifdef MUTANT_SEND_IN_LATER_EPOCH
#define SAME_EPOCH(p) true
#else
#define SAME_EPOCH(p) (epoch == seenEpoch[p])
#endif

#ifdef MUTANT_SEND_TO_NEW_ADDRESS
#define TARGET(p) listed
#else
#define TARGET(p) seenAddress[p]
#endif

/* Records that can no longer take effect are dropped immediately. */
#define voidRecords(condition) \
    k = 0; \
    do \
    :: k < N -> if :: condition -> record[k] = NONE :: else fi; k++ \
    :: else -> break \
    od

/* OrderSlots::apply */
inline land(p)
{
    if
    :: record[p] == OPENED ->
        slot++; open = true; sender = p; orderEpoch = epoch; orderAddress = listed;
        voidRecords(record[k] == OPENED)
    :: record[p] == DONE || record[p] == NEVER_SENT -> closeSlot()
    :: record[p] == FENCED && holder == p && FENCED_OUT -> closeSlot()
    :: record[p] == SENDER_GONE && holder == p && GONE_FOR_SURE -> closeSlot()
    :: record[p] == REPLACED && holder == p && orderAddress != listed -> closeSlot()
    :: else
    fi;
    record[p] = NONE
}

#define forgetBytes(n) \
    if \
    :: bytes[n] == 0 -> bytesEpoch[n] = 0; bytesTo[n] = 0 \
    :: else \
    fi

/* The endpoint at the address accepts an order or rejects it because of its fencing number. */
inline arrive(n)
{
    bytes[n]--;
    if
    :: checksFencing && bytesEpoch[n] < newestEpoch[bytesTo[n]]
    :: else ->
        CHECK_noConflictingOrders(n > lastAccepted[bytesTo[n]]);
        lastAccepted[bytesTo[n]] = n;
        newestEpoch[bytesTo[n]] = (checksFencing -> bytesEpoch[n] : 0)
    fi;
    forgetBytes(n)
}

inline learnOutcome(n)
{
    if
    :: running[bytesOf[n]] && seenSlot[bytesOf[n]] == n -> known[bytesOf[n]] = true
    :: else
    fi
}

#ifdef MUTANT_FORGETS_SENT
#define forget(p) skip
#else
#define forget(p) seenEpoch[p] = 0; seenAddress[p] = 0
#endif

#define LEASE_LOST(p) (!(holder == p && epoch == seenEpoch[p]))
#define IS_OPEN_OF(p) (open && slot == seenSlot[p] && sender == p)

proctype process(byte p)
{
end:
    do
    /* claimLease: see lease.pml */
    :: d_step { running[p] && holder != p && epoch < MAXEPOCH && !mayAct[0] && !mayAct[1] && !mayAct[2] ->
           holder = p; epoch++; voidRecords(record[k] == OPENED) }
    /* renewLease: the holder reads its last frame back from the log. */
    :: d_step { running[p] && holder == p && !mayAct[p] -> mayAct[p] = true }
    /* The lease ends, or is released while no send is pending. */
    :: d_step { mayAct[p] ->
           mayAct[p] = false;
#ifndef MUTANT_NO_GUARD
           checked[p] = false
#endif
       }

    /* The log service appends the record, at any later time or never. */
    :: d_step { record[p] != NONE -> land(p) }

    /* openOrder */
    :: d_step { running[p] && mayAct[p] && record[p] == NONE && !open && slot < MAXSLOT ->
           record[p] = OPENED }

    /* The process reads back that its order was opened. */
    :: d_step { running[p] && SEEN_OPEN(p) ->
#ifdef MUTANT_SEND_BEFORE_SEEN
           seenSlot[p] = slot + 1; seenEpoch[p] = epoch; seenAddress[p] = listed;
#else
           seenSlot[p] = slot; seenEpoch[p] = orderEpoch; seenAddress[p] = orderAddress;
#endif
           known[p] = false }

    /* sendOrder: the check, then the bytes */
    :: d_step { running[p] && seenSlot[p] > sentSlot[p] && mayAct[p] && SAME_EPOCH(p) ->
           sentSlot[p] = seenSlot[p]; checked[p] = true }
    :: d_step { running[p] && checked[p] ->
           countOthers(p);
           CHECK_senderHadAuthority(mayAct[p] && others == 0 && seenEpoch[p] == epoch);
           checked[p] = false;
           bytes[seenSlot[p]]++;
           bytesOf[seenSlot[p]] = p;
           bytesEpoch[seenSlot[p]] = seenEpoch[p];
           bytesTo[seenSlot[p]] = TARGET(p);
           forget(p) }
#ifdef MUTANT_FORGETS_SENT
    /* The process's state for the endpoint is recreated, for example because the endpoint was
     * temporarily removed from the configuration. */
    :: d_step { running[p] && sentSlot[p] > 0 && !checked[p] && !known[p] -> sentSlot[p] = 0 }
#endif
    /* The lease was lost before the order was sent, so that it never will be. */
    :: d_step { running[p] && seenSlot[p] > sentSlot[p] && LEASE_LOST(p) && record[p] == NONE && IS_OPEN_OF(p) ->
           sentSlot[p] = seenSlot[p]; forget(p); record[p] = NEVER_SENT }

    /* closeOrder by the sender, with the outcome it received */
    :: d_step { running[p] && known[p] && record[p] == NONE && IS_OPEN_OF(p) ->
           record[p] = DONE }
#ifdef MUTANT_LOST_ANSWER_IS_REFUSAL
    :: d_step { running[p] && !checked[p] && seenSlot[p] > 0 && sentSlot[p] == seenSlot[p] -> known[p] = true }
#endif

    /* closeOrder by a later holder */
    :: d_step { running[p] && mayAct[p] && record[p] == NONE && open && sender != p && FENCED_OUT ->
           record[p] = FENCED }
    :: d_step { running[p] && mayAct[p] && record[p] == NONE && open && sender != p && orderAddress != listed ->
           record[p] = REPLACED }
    :: d_step { running[p] && mayAct[p] && record[p] == NONE && open && sender != p && GONE_FOR_SURE && BYTES_ARE_GONE(p) ->
           record[p] = SENDER_GONE }
    :: d_step { running[p] && p > 0 && gone && goneWait[p] > BYTES -> goneWait[p] = BYTES }
    od
}

proctype surroundings()
{
    byte n;
end:
    do
    /* An order arrives; its sender receives the response or not. */
    :: atomic { bytes[1] > 0 -> n = 1; goto arrives }
    :: atomic { bytes[2] > 0 -> n = 2; goto arrives }
    :: atomic { bytes[3] > 0 -> n = 3;
arrives:
           if
           :: d_step { true -> arrive(n); learnOutcome(n) }
           :: d_step { true -> arrive(n) }
           :: d_step { true -> bytes[n]--; forgetBytes(n); learnOutcome(n) }  /* connection failed before any byte arrived */
           fi;
           n = 0 }

    /* Process 0 is killed. */
    :: d_step { running[0] -> running[0] = false; checked[0] = false; linger = BYTES; known[0] = false }
    /* Process 2 replaces it and records that in the log. */
    :: d_step { !running[0] && !running[2] -> running[2] = true; gone = true }
    /* Process 0 records a planned stop in the log. */
#ifdef MUTANT_STOP_WITH_ORDERS_OUT
    :: d_step { running[0] && !gone -> gone = true; mayAct[0] = false }
#else
    :: d_step { running[0] && !gone && !checked[0] && record[0] == NONE && !(open && sender == 0) ->
           gone = true; mayAct[0] = false; running[0] = false; linger = BYTES; known[0] = false }
#endif

    /* The configuration changes the endpoint's address. */
    :: d_step { !moved -> moved = true; listed = 1 }
#ifdef MUTANT_ADDRESS_RETURNS
    :: d_step { listed == 1 -> listed = 0 }
#endif

    /* A tick of time. */
    :: d_step { linger > 0 || goneWait[1] == BYTES || goneWait[2] == BYTES ->
           if
           :: linger == 1 ->
               linger = 0; k = 1;
               do
               :: k <= MAXSLOT -> if :: bytesOf[k] == 0 -> bytes[k] = 0 :: else fi; k++
               :: else -> break
               od
           :: else
           fi;
           if :: goneWait[1] == BYTES -> goneWait[1] = 0 :: else fi;
           if :: goneWait[2] == BYTES -> goneWait[2] = 0 :: else fi }
    od
}

init {
    atomic {
        if
        :: checksFencing = true
        :: checksFencing = false
        fi;
        running[0] = true; running[1] = true;
        goneWait[1] = BYTES + 1; goneWait[2] = BYTES + 1;
        run process(0); run process(1); run process(2); run surroundings()
    }
}
