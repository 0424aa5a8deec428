/* One at-most-once action: claimAction, pollClaim, finishAction, loseAnswer, freeze, thaw.
 *
 * Processes 0 and 1 receive requests with the same key; process 2 replaces process 0 after it ends.
 * Each may claim twice. A record is appended to the log at any later time or never (log outage), and
 * a copy of it may be appended again after a lost response. A process may pause or end between any
 * two steps; the owner may be suspected lost at any time.
 *
 * Properties: runsAtMostOnce, notRunIsTrue. Mutants: see the file "mutants".
 */

#include "property.h"

#define N 3
#define NOBODY N
#define MAXCLAIMS 2

/* State of the key in the log. */
#define FREE 0
#define INPROGRESS 1
#define ANSWERED 2
#define UNKNOWN 3
byte stage = FREE;
byte owner = NOBODY;
byte ownersClaim = 0;
bool ownerRan = false;   /* the service was called for the claim in progress */

/* State of a process's call. */
#define IDLE 0
#define CLAIMING 1       /* the claim is in flight, or appended and not read back */
#define OWNING 2         /* its claim was read back as accepted; service not called yet */
#define CALLED 3         /* the service was called */
byte call[N];
byte claims[N];
bool returnedNotRun[N];      /* "not run" was returned to the caller: abandoned */
bool running[N];

/* Records in flight. */
#define NONE 0
#define CLAIMED 1
#define RESULT_ANSWERED 2
#define RESULT_UNKNOWN 3
#define RESULT_NOT_RUN 4
#define SENT 1
#define LANDED 2
byte record[N];
byte at[N];
#ifdef MUTANT_DOUBLES_COUNT
bool copyInFlight[N];       /* a copy of its "not run" record may still be appended */
#endif
bool counted[N];         /* the claim was accepted */

byte runs = 0;

#ifdef MUTANT_OTHERS_FREE
#define MAY_FREE(p) true
#else
#define MAY_FREE(p) (owner == p)
#endif

/* ActionTable::apply */
inline apply(p, what)
{
    if
    :: what == CLAIMED && stage == FREE ->
        stage = INPROGRESS; owner = p; ownersClaim = claims[p]; ownerRan = false; counted[p] = true
    :: what == RESULT_ANSWERED && stage == INPROGRESS && owner == p -> stage = ANSWERED
    :: what == RESULT_UNKNOWN && stage == INPROGRESS -> stage = UNKNOWN
    :: what == RESULT_NOT_RUN && stage == INPROGRESS && MAY_FREE(p) ->
        CHECK_notRunIsTrue(!ownerRan);
        stage = FREE; owner = NOBODY; ownersClaim = 0
    :: else
    fi
}

#define append(p, what) record[p] = what; at[p] = SENT
#define endCall(p) call[p] = IDLE; returnedNotRun[p] = false; counted[p] = false

proctype process(byte p)
{
end:
    do
    /* claimAction, after a recent read to the end of the log, where the key is free */
    :: d_step { running[p] && call[p] == IDLE && at[p] == NONE && stage == FREE && claims[p] < MAXCLAIMS ->
           claims[p]++; call[p] = CLAIMING; counted[p] = false; append(p, CLAIMED) }

    /* The log service appends the record, at any later time or never. */
    :: d_step { at[p] == SENT ->
           apply(p, record[p]);
#ifdef MUTANT_DOUBLES_COUNT
           copyInFlight[p] = copyInFlight[p] || record[p] == RESULT_NOT_RUN;
#endif
           at[p] = (running[p] -> LANDED : NONE) }
    /* loseAnswer: the copy carries the frame's id and is ignored as a duplicate. */
#ifdef MUTANT_DOUBLES_COUNT
    :: d_step { copyInFlight[p] -> copyInFlight[p] = false; apply(p, RESULT_NOT_RUN) }
#endif

    /* The process reads its record back. */
    :: d_step { running[p] && at[p] == LANDED ->
           at[p] = NONE;
           if
           :: record[p] == CLAIMED && call[p] == CLAIMING && !counted[p] -> endCall(p)
           :: else
           fi;
           record[p] = NONE }

    /* The caller timed out or disconnected: the response is "not run". */
    :: d_step { running[p] && call[p] == CLAIMING && !returnedNotRun[p] -> returnedNotRun[p] = true }

    /* pollClaim: once the claim is read back as accepted, unless it was abandoned */
#ifdef MUTANT_RUN_BEFORE_SEEN
    :: d_step { running[p] && call[p] == CLAIMING && !returnedNotRun[p] -> call[p] = OWNING }
#endif
#ifdef MUTANT_LATE_CLAIM_RUNS
#define MAY_RUN(p) true
#else
#define MAY_RUN(p) (!returnedNotRun[p])
#endif
    :: d_step { running[p] && call[p] == CLAIMING && at[p] == NONE && counted[p] && MAY_RUN(p) ->
           call[p] = OWNING }
#ifdef MUTANT_SUCCESSOR_RUNS
    :: d_step { running[p] && p == 2 && call[p] == IDLE && stage == INPROGRESS && owner == 0 -> call[p] = OWNING }
#endif
    :: d_step { running[p] && call[p] == OWNING ->
           CHECK_notRunIsTrue(!returnedNotRun[p]);
           CHECK_runsAtMostOnce(runs == 0);
           runs++; ownerRan = (owner == p -> true : ownerRan); call[p] = CALLED }

    /* finishAction: the outcome, or "unknown" if the call was interrupted */
    :: d_step { running[p] && call[p] == CALLED && at[p] == NONE -> endCall(p); append(p, RESULT_ANSWERED) }
    :: d_step { running[p] && call[p] == CALLED && at[p] == NONE ->
           endCall(p);
#ifdef MUTANT_BROKEN_CALL_IS_NOT_RUN
           append(p, RESULT_NOT_RUN)
#else
           append(p, RESULT_UNKNOWN)
#endif
       }
    /* finishAction with "not run": no byte reached the service, or the claim was abandoned */
    :: d_step { running[p] && call[p] == OWNING && at[p] == NONE -> endCall(p); append(p, RESULT_NOT_RUN) }
    :: d_step { running[p] && call[p] == CLAIMING && at[p] == NONE && counted[p] && returnedNotRun[p] ->
           endCall(p); append(p, RESULT_NOT_RUN) }

    /* finishAction by another process, which considers the owner lost */
    :: d_step { running[p] && call[p] == IDLE && at[p] == NONE && stage == INPROGRESS && owner != p ->
#ifdef MUTANT_OTHERS_FREE
           append(p, RESULT_NOT_RUN)
#else
           append(p, RESULT_UNKNOWN)
#endif
       }

    /* The process is killed; records it sent may still be appended. Process 2 replaces process 0. */
    :: d_step { running[p] ->
           running[p] = false; endCall(p);
           if :: at[p] == LANDED -> at[p] = NONE :: else fi;
           if :: at[p] == NONE -> record[p] = NONE :: else fi;
           if :: p == 0 -> running[2] = true :: else fi }
    od
}

init {
    atomic { running[0] = true; running[1] = true; run process(0); run process(1); run process(2) }
}
