/* One action that may not repeat: claimAction, runAction, finishAction, loseAnswer, freeze, thaw.
 *
 * Processes 0 and 1 are called with the same key; process 2 is the one that takes the place of
 * process 0 after its end. Each may claim twice. A record lands at any later time or never (log
 * outage), and its copy may land again after a lost answer. A process may stop or end between
 * any two steps; silence of an owner may be believed at any time.
 *
 * Properties: runsAtMostOnce, notRunIsTrue. Mutants: see the file "mutants".
 */

#include "property.h"

#define N 3
#define NOBODY N
#define MAXCLAIMS 2

/* What the log says of the key. */
#define FREE 0
#define INPROGRESS 1
#define ANSWERED 2
#define UNKNOWN 3
byte stage = FREE;
byte owner = NOBODY;
byte ownersClaim = 0;
bool ownerRan = false;   /* the service ran for the claim in progress */

/* A process's call. */
#define IDLE 0
#define CLAIMING 1       /* the claim is on its way, or landed and not read back */
#define OWNING 2         /* its claim was seen to count; the service was not called yet */
#define CALLED 3         /* the service was called */
byte call[N];
byte claims[N];
bool toldNotRun[N];      /* its caller was told "not run": abandoned */
bool running[N];

/* Records on their way. */
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
bool givenBack[N];       /* a copy of its "not run" may still land */
#endif
bool counted[N];         /* the claim counted */

byte runs = 0;

#ifdef MUTANT_OTHERS_FREE
#define KNOWS(p) true
#else
#define KNOWS(p) (owner == p)
#endif

/* ActionTable::apply */
inline apply(p, what)
{
    if
    :: what == CLAIMED && stage == FREE ->
        stage = INPROGRESS; owner = p; ownersClaim = claims[p]; ownerRan = false; counted[p] = true
    :: what == RESULT_ANSWERED && stage == INPROGRESS && owner == p -> stage = ANSWERED
    :: what == RESULT_UNKNOWN && stage == INPROGRESS -> stage = UNKNOWN
    :: what == RESULT_NOT_RUN && stage == INPROGRESS && KNOWS(p) ->
        CHECK_notRunIsTrue(!ownerRan);
        stage = FREE; owner = NOBODY; ownersClaim = 0
    :: else
    fi
}

#define append(p, what) record[p] = what; at[p] = SENT
#define endCall(p) call[p] = IDLE; toldNotRun[p] = false; counted[p] = false

proctype process(byte p)
{
end:
    do
    /* claimAction, with the log read to its end lately: the key is free there */
    :: d_step { running[p] && call[p] == IDLE && at[p] == NONE && stage == FREE && claims[p] < MAXCLAIMS ->
           claims[p]++; call[p] = CLAIMING; counted[p] = false; append(p, CLAIMED) }

    /* The log service appends the record, at any later time or never. */
    :: d_step { at[p] == SENT ->
           apply(p, record[p]);
#ifdef MUTANT_DOUBLES_COUNT
           givenBack[p] = givenBack[p] || record[p] == RESULT_NOT_RUN;
#endif
           at[p] = (running[p] -> LANDED : NONE) }
    /* loseAnswer: the copy has the frame's name and changes nothing. */
#ifdef MUTANT_DOUBLES_COUNT
    :: d_step { givenBack[p] -> givenBack[p] = false; apply(p, RESULT_NOT_RUN) }
#endif

    /* The process reads its record. */
    :: d_step { running[p] && at[p] == LANDED ->
           at[p] = NONE;
           if
           :: record[p] == CLAIMED && call[p] == CLAIMING && !counted[p] -> endCall(p)
           :: else
           fi;
           record[p] = NONE }

    /* The caller waited in vain, or left: the answer is "not run". */
    :: d_step { running[p] && call[p] == CLAIMING && !toldNotRun[p] -> toldNotRun[p] = true }

    /* runAction: once the claim is seen to count, unless it was given up */
#ifdef MUTANT_RUN_BEFORE_SEEN
    :: d_step { running[p] && call[p] == CLAIMING && !toldNotRun[p] -> call[p] = OWNING }
#endif
#ifdef MUTANT_LATE_CLAIM_RUNS
#define MAY_RUN(p) true
#else
#define MAY_RUN(p) (!toldNotRun[p])
#endif
    :: d_step { running[p] && call[p] == CLAIMING && at[p] == NONE && counted[p] && MAY_RUN(p) ->
           call[p] = OWNING }
#ifdef MUTANT_SUCCESSOR_RUNS
    :: d_step { running[p] && p == 2 && call[p] == IDLE && stage == INPROGRESS && owner == 0 -> call[p] = OWNING }
#endif
    :: d_step { running[p] && call[p] == OWNING ->
           CHECK_notRunIsTrue(!toldNotRun[p]);
           CHECK_runsAtMostOnce(runs == 0);
           runs++; ownerRan = (owner == p -> true : ownerRan); call[p] = CALLED }

    /* finishAction: the outcome, or "unknown" if the call broke off */
    :: d_step { running[p] && call[p] == CALLED && at[p] == NONE -> endCall(p); append(p, RESULT_ANSWERED) }
    :: d_step { running[p] && call[p] == CALLED && at[p] == NONE ->
           endCall(p);
#ifdef MUTANT_BROKEN_CALL_IS_NOT_RUN
           append(p, RESULT_NOT_RUN)
#else
           append(p, RESULT_UNKNOWN)
#endif
       }
    /* finishAction with "not run": no byte reached the service, or the claim was given up */
    :: d_step { running[p] && call[p] == OWNING && at[p] == NONE -> endCall(p); append(p, RESULT_NOT_RUN) }
    :: d_step { running[p] && call[p] == CLAIMING && at[p] == NONE && counted[p] && toldNotRun[p] ->
           endCall(p); append(p, RESULT_NOT_RUN) }

    /* finishAction by another one, that believes the owner to be lost */
    :: d_step { running[p] && call[p] == IDLE && at[p] == NONE && stage == INPROGRESS && owner != p ->
#ifdef MUTANT_OTHERS_FREE
           append(p, RESULT_NOT_RUN)
#else
           append(p, RESULT_UNKNOWN)
#endif
       }

    /* The process is killed; what it sent may still land. Process 2 takes the place of 0. */
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
