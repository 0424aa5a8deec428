/* Usage of one shard: closeWindow, reportWindow, loseAnswer, freeze, thaw.
 *
 * Two items are each appended twice, by their owner and by the holder of their copies. Two
 * reporters compete; leases are assumed as verified in lease.pml. Reports arrive at any later time or
 * never and their responses may be lost, after which the same window is reported again. A reporter
 * may pause between any two steps; its guard timer keeps running.
 *
 * Properties: sameFigures, countedOnce, senderHadAuthority. Mutants: see the file "mutants".
 */

#include "property.h"

#define N 2
#define NOBODY N
#define ITEMS 2
#define WINDOWS 2
#define MAXEPOCH 3
#define UNBILLED 255

/* State of the log. */
byte holder = NOBODY;
byte epoch = 0;
byte landings[ITEMS];
byte openFigure = 0;
byte lastClosed = 0;               /* windows are numbered from 1 */
byte figure[WINDOWS + 1];
bool closed[WINDOWS + 1];
bool reported[WINDOWS + 1];
byte items = 0;                    /* distinct items that were appended */

/* Billing. */
byte billed[WINDOWS + 1] = UNBILLED;

/* Reporters. */
#define NONE 0
#define CLOSE 1
#define REPORTED 2
bool mayAct[N];
byte record[N];
byte recordWindow[N];
byte checked[N];                   /* window whose report passed the check and is about to be sent */
byte acknowledged[N];              /* window that billing acknowledged */

/* Reports in flight, by reporter. */
byte inFlight[N];
byte inFlightFigure[N];

#define front (closed[1] && !reported[1] -> 1 : (closed[2] && !reported[2] -> 2 : 0))

/* Late items are counted in the window that is closed next. */
#ifdef MUTANT_LATE_ITEMS_CHANGE_CLOSED
#define addItem() if :: lastClosed > 0 -> figure[lastClosed]++ :: else -> openFigure++ fi
#else
#define addItem() openFigure++
#endif

inline landItem(i)
{
    if
    :: landings[i] == 0 -> items++; addItem()
    :: else ->
#ifdef MUTANT_DOUBLES_COUNT
        addItem()
#else
        skip
#endif
    fi;
    landings[i]++
}

#ifdef MUTANT_CLOSED_AGAIN
#define MAY_CLOSE(w) (w >= lastClosed)
#else
#define MAY_CLOSE(w) (w > lastClosed)
#endif

/* UsageLedger::apply; records of an earlier epoch are dropped immediately. */
inline land(p)
{
    if
    :: record[p] == CLOSE && MAY_CLOSE(recordWindow[p]) ->
        lastClosed = recordWindow[p];
        figure[lastClosed] = openFigure;
        closed[lastClosed] = true;
        openFigure = 0
    :: record[p] == REPORTED && front == recordWindow[p] ->
        reported[recordWindow[p]] = true;
        CHECK_countedOnce(billed[recordWindow[p]] == figure[recordWindow[p]])
    :: else
    fi;
    CHECK_countedOnce(figure[1] + figure[2] + openFigure == items);
    record[p] = NONE;
    recordWindow[p] = 0
}

/* Billing stores a window once and compares repeated reports with it. */
inline arrive(p)
{
    if
    :: billed[inFlight[p]] == UNBILLED -> billed[inFlight[p]] = inFlightFigure[p]
    :: else -> CHECK_sameFigures(billed[inFlight[p]] == inFlightFigure[p])
    fi
}

proctype reporter(byte p)
{
end:
    do
    :: d_step { holder != p && epoch < MAXEPOCH && !mayAct[0] && !mayAct[1] ->
           holder = p; epoch++; record[1 - p] = NONE; recordWindow[1 - p] = 0 }
    :: d_step { holder == p && !mayAct[p] -> mayAct[p] = true }
    :: d_step { mayAct[p] ->
           mayAct[p] = false;
#ifndef MUTANT_NO_GUARD
           checked[p] = 0
#endif
       }

    :: d_step { record[p] != NONE && holder == p -> land(p) }

    /* closeWindow: by a clock that may be ahead of or behind the other's */
    :: d_step { mayAct[p] && record[p] == NONE && MAY_CLOSE(1) -> record[p] = CLOSE; recordWindow[p] = 1 }
    :: d_step { mayAct[p] && record[p] == NONE && MAY_CLOSE(2) -> record[p] = CLOSE; recordWindow[p] = 2 }

    /* reportWindow: the check, then the bytes; repeated until a response arrives */
    :: d_step { mayAct[p] && front > 0 && acknowledged[p] != front && checked[p] == 0 && inFlight[p] == 0 ->
           checked[p] = front }
    :: d_step { checked[p] > 0 ->
           CHECK_senderHadAuthority(mayAct[p] && !mayAct[1 - p]);
           inFlight[p] = checked[p]; inFlightFigure[p] = figure[checked[p]]; checked[p] = 0 }
    /* The report arrives and is acknowledged; or the acknowledgement is lost and a copy may arrive
     * again; or the report is lost. */
    :: d_step { inFlight[p] > 0 ->
           arrive(p); acknowledged[p] = inFlight[p]; inFlight[p] = 0; inFlightFigure[p] = 0 }
    :: d_step { inFlight[p] > 0 -> arrive(p) }
    :: d_step { inFlight[p] > 0 -> inFlight[p] = 0; inFlightFigure[p] = 0 }

    /* Billing acknowledged the window, so that is recorded in the log. */
#ifdef MUTANT_REPORTED_BEFORE_TAKEN
    :: d_step { mayAct[p] && record[p] == NONE && front > 0 -> record[p] = REPORTED; recordWindow[p] = front }
#else
    :: d_step { mayAct[p] && record[p] == NONE && front > 0 && acknowledged[p] == front ->
           record[p] = REPORTED; recordWindow[p] = front }
#endif
    od
}

active proctype work()
{
end:
    do
    :: d_step { landings[0] < 2 -> landItem(0) }
    :: d_step { landings[1] < 2 -> landItem(1) }
    od
}

init {
    atomic { run reporter(0); run reporter(1) }
}
