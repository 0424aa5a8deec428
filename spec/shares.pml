/* One share slot of one organisation: claimLease and releaseLease on "share/<slot>", lendShare,
 * borrowShare, endLoan, vouch, withdrawVouch, loseAnswer, freeze, thaw.
 *
 * The owner lends its whole share to the other instance, which also claims the slot when the owner
 * is lost. The owner has one attestor, which a new process may replace. Messages between peers may
 * be lost, delayed or duplicated: a sent message remains available to be received again. The log may
 * be unavailable for any time, during which nothing is appended. A process may pause between any two
 * steps. Times are countdowns in ticks of a common clock and include the margin and the drift of
 * both clocks (see lease.pml): if both start at the same instant, the right of a holder or borrower
 * ends no later than the wait of those who consider it ended.
 *
 * Property: sumOfSharesAtMostOne. Mutants: see the file "mutants".
 */

#include "property.h"

#define LEASE 1
#define LOAN 2
#ifndef LOANS
#define LOANS 1
#endif
/* One loan with longer times or two loans with shorter ones, to bound the state space. */
#if LOANS > 1
#define VOUCH 1
#define HOLDERLIMIT 2
#else
#define VOUCH 2
#define HOLDERLIMIT 3
#endif
#define CLAIMLIMIT HOLDERLIMIT

/* Drift between two clocks that remains uncovered without a margin. */
#ifdef MUTANT_NO_MARGIN
#define DRIFT 1
#else
#define DRIFT 0
#endif

#define IDLE 0
#define SENT 1
#define LANDED 2

/* Bases of a claim; 0 means no claim in flight. */
#define FREE 1
#define RESTARTED 2
#define LAPSED 3
#define VOUCHLIMIT 4

/* State of the log. */
bool released = false;
bool restarted = false;
bool withdrawn = false;
bool claimed = false;      /* the claimant owns the slot */

/* The owner. */
bool ownerRuns = true;
bool ownerUses = true;
byte frame = LANDED;       /* its claim was just appended */
byte frameAge = 0;
bool frameReleases = false;
byte leased = 0;           /* ticks left of the lease from its last frame in the log */
byte vouched = 0;          /* ticks left of the last attestation */
byte limit = 0;            /* ticks left for which attestations are valid */
byte askLeft = 0;          /* ticks left of an attestation, measured from its request */
byte answerLeft = 0;       /* the same for the response in flight */

/* The attestor. */
bool vouches = true;
bool withdrawalSent = false;
bool attestorReplaced = false;

/* The claimant. */
bool readFrame = false;    /* has read the owner's last frame */
bool readWithdrawal = false;
bool readRestart = false;
bool readRelease = false;
byte waitLease = 0;
byte waitLimit = 0;
byte waitVouch = 0;
byte waitLoan = 0;
byte claim = 0;            /* basis of the claim in flight */

/* Loans by number; the owner is the lender, the claimant the borrower. */
byte nextLoan = 0;
byte lent[LOANS];          /* ticks for which the lender considers it lent */
byte used[LOANS];          /* ticks for which the borrower may use it */
bool pending[LOANS];       /* the borrower waits for a response */
bool renews[LOANS];
bool asked[LOANS];
byte askAge[LOANS];
bool answered[LOANS];
byte granted[LOANS];
bool returned[LOANS];

hidden byte k;

#define min(a, b) ((a) < (b) -> (a) : (b))
#define max(a, b) ((a) > (b) -> (a) : (b))
#define left(a, b) ((a) > (b) -> (a) - (b) : 0)

#ifdef MUTANT_NO_HOLDER_LIMIT
#define byVouch vouched
#else
#define byVouch min(vouched, limit)
#endif
#define authority (ownerRuns && ownerUses -> max(leased, byVouch) : 0)
#if LOANS > 1
#define isLent (lent[0] > 0 || lent[1] > 0)
#define isUsed (used[0] > 0 || used[1] > 0)
#define otherLent(l) (lent[1 - l] > 0)
#define dropAsks() pending[0] = false; pending[1] = false
#else
#define isLent (lent[0] > 0)
#define isUsed (used[0] > 0)
#define otherLent(l) false
#define dropAsks() skip
#endif
#define ownerShare (authority > 0 && !isLent -> 1 : 0)
#define otherShare ((isUsed -> 1 : 0) + (claimed -> 1 : 0))
#define checkSum() CHECK_sumOfSharesAtMostOne(ownerShare + otherShare <= 1)

#ifdef MUTANT_LOAN_OUTLIVES_AUTHORITY
#define LOANTIME LOAN
#else
#define LOANTIME min(LOAN, authority)
#endif
#ifdef MUTANT_BORROWED_FROM_ANSWER
#define USABLE(l) granted[l]
#else
#define USABLE(l) left(granted[l], askAge[l])
#endif
#ifdef MUTANT_ANSWER_TO_RETURNED_LOAN
#define AWAITED(l) true
#else
#define AWAITED(l) pending[l]
#endif
#ifdef MUTANT_RELEASE_WITH_LOANS
#define MAY_RELEASE true
#else
#define MAY_RELEASE (!isLent)
#endif
#ifdef MUTANT_LAPSE_WITHOUT_VOUCH_WAIT
#define VOUCHES_ENDED true
#else
#define VOUCHES_ENDED (waitVouch == 0)
#endif
#ifdef MUTANT_LAPSE_WITHOUT_WITHDRAWAL
#define ALL_WITHDRAWN true
#else
#define ALL_WITHDRAWN readWithdrawal
#endif
#ifdef MUTANT_RESTART_WITHOUT_LOAN_WAIT
#define LOANS_ENDED true
#else
#define LOANS_ENDED (waitLoan == 0)
#endif

inline lend(l)
{
    granted[l] = LOANTIME;
    answered[l] = true;
    lent[l] = max(lent[l], left(granted[l], DRIFT));
    checkSum()
}

inline renew(l)
{
    pending[l] = true;
    renews[l] = true;
    askAge[l] = 0;
    answered[l] = false;
    granted[l] = 0
}

#define endLoans() \
    k = 0; \
    do \
    :: k < LOANS -> lent[k] = 0; k++ \
    :: else -> break \
    od

active proctype owner()
{
end:
    do
    /* Any frame of the owner renews its lease, from the time at which it was first sent. */
    :: d_step { ownerRuns && ownerUses && !claimed && frame == IDLE -> frame = SENT }
    /* releaseLease, when no loan is outstanding */
    :: d_step { ownerRuns && ownerUses && frame == IDLE && MAY_RELEASE ->
           frame = SENT; frameAge = 0; frameReleases = true; ownerUses = false; vouched = 0; leased = 0; limit = 0 }
    /* The log service appends the frame, at any later time or never. */
    :: d_step { frame == SENT ->
           frame = LANDED;
           if :: !ownerRuns -> frame = IDLE :: else fi;
           if
           :: !claimed -> readFrame = false; claim = 0; released = frameReleases
           :: else
           fi }
    /* The owner reads its frame back; loseAnswer changes nothing. */
    :: d_step { ownerRuns && frame == LANDED ->
           if
           :: claimed -> ownerUses = false; vouched = 0; leased = 0; limit = 0
           :: !claimed && ownerUses ->
               leased = left(LEASE, frameAge); limit = left(HOLDERLIMIT, frameAge)
           :: else
           fi;
           frame = IDLE; frameAge = 0;
           checkSum() }

    /* vouch: sends the request and receives the response */
    :: d_step { ownerRuns && ownerUses && askLeft < VOUCH -> askLeft = VOUCH }
    :: d_step { ownerRuns && ownerUses && answerLeft > vouched -> vouched = answerLeft; checkSum() }

    /* lendShare: a new loan, a renewal, or a repeated request */
    :: d_step { asked[0] && authority > 0 && !otherLent(0) && (!renews[0] || lent[0] > 0) -> lend(0) }
#if LOANS > 1
    :: d_step { asked[1] && authority > 0 && !otherLent(1) && (!renews[1] || lent[1] > 0) -> lend(1) }
#endif
    /* endLoan: the return message arrives */
    :: d_step { ownerRuns && returned[0] && lent[0] > 0 -> lent[0] = 0; checkSum() }
#if LOANS > 1
    :: d_step { ownerRuns && returned[1] && lent[1] > 0 -> lent[1] = 0; checkSum() }
#endif

    /* The owner is killed, and a new process at its address records that in the log. */
    :: d_step { ownerRuns -> ownerRuns = false; ownerUses = false; endLoans();
           vouched = 0; leased = 0; limit = 0; askLeft = 0; answerLeft = 0;
           if :: frame != SENT -> frame = IDLE; frameAge = 0 :: else -> frameAge = 0 fi }
    :: d_step { !ownerRuns && !restarted -> restarted = true }
    od
}

active proctype attestor()
{
end:
    do
    /* vouch: a request arrives */
    :: d_step { vouches && askLeft > answerLeft -> answerLeft = askLeft }
    /* withdrawVouch: permanent, and effective before the record is sent */
    :: d_step { vouches -> vouches = false; withdrawalSent = true }
    :: d_step { withdrawalSent && !withdrawn ->
           withdrawalSent = false; withdrawn = true; attestorReplaced = true;
           readWithdrawal = claimed;
           if
           :: claim == LAPSED -> claim = 0
           :: else
           fi }
    /* A new process replaces the attestor. Records of the old one in flight become void. */
    :: d_step { !attestorReplaced ->
           attestorReplaced = true;
           vouches = !withdrawn;
#ifndef MUTANT_LATE_WITHDRAWAL_COUNTS
           withdrawalSent = false
#endif
       }
    od
}

active proctype claimant()
{
end:
    do
    /* The claimant reads the log. */
    :: d_step { !claimed && (!readFrame || withdrawn != readWithdrawal || restarted != readRestart || released != readRelease) ->
           if
           :: !readFrame -> readFrame = true; waitLease = LEASE; waitLimit = CLAIMLIMIT
           :: else
           fi;
           if
           :: withdrawn && !readWithdrawal -> readWithdrawal = true; waitVouch = left(VOUCH, DRIFT)
           :: else
           fi;
           if
           :: restarted && !readRestart -> readRestart = true; waitLoan = left(LOAN, DRIFT)
           :: else
           fi;
           readRelease = released }

    /* claimLease: a claim from an older view would be rejected. */
    :: d_step { claim == 0 && !claimed && readFrame && readRelease -> claim = FREE }
    :: d_step { claim == 0 && !claimed && readFrame && readRestart && LOANS_ENDED -> claim = RESTARTED }
    :: d_step { claim == 0 && !claimed && readFrame && ALL_WITHDRAWN && waitLease == 0 && VOUCHES_ENDED ->
           claim = LAPSED }
    :: d_step { claim == 0 && !claimed && readFrame && waitLimit == 0 -> claim = VOUCHLIMIT }
    :: d_step { claim > 0 ->
           claimed = true; claim = 0;
           /* From here on only the remaining rights of the owner matter. */
           readFrame = true; readWithdrawal = withdrawn; readRestart = restarted; readRelease = released;
           waitLease = 0; waitLimit = 0; waitVouch = 0; waitLoan = 0;
           checkSum() }

    /* borrowShare: the first request for a loan, with no other loan in use */
    :: d_step { nextLoan < LOANS && !claimed && !isUsed ->
           dropAsks();
           pending[nextLoan] = true; asked[nextLoan] = true; askAge[nextLoan] = 0; nextLoan++ }
    /* borrowShare: a renewal; responses to earlier requests are ignored from here on */
    :: d_step { !claimed && used[0] > 0 && askAge[0] > 0 -> renew(0) }
#if LOANS > 1
    :: d_step { !claimed && used[1] > 0 && askAge[1] > 0 -> renew(1) }
#endif
    /* borrowShare: the response arrives */
    :: d_step { answered[0] && AWAITED(0) && USABLE(0) > 0 -> pending[0] = false; used[0] = USABLE(0); checkSum() }
#if LOANS > 1
    :: d_step { answered[1] && AWAITED(1) && USABLE(1) > 0 -> pending[1] = false; used[1] = USABLE(1); checkSum() }
#endif
    /* endLoan */
    :: d_step { used[0] > 0 -> used[0] = 0; pending[0] = false; returned[0] = true }
#if LOANS > 1
    :: d_step { used[1] > 0 -> used[1] = 0; pending[1] = false; returned[1] = true }
#endif
    od
}

#define down(x) if :: x > 0 -> x-- :: else fi

active proctype time()
{
end:
    do
    :: d_step {
           true ->
           down(leased); down(vouched); down(limit); down(askLeft); down(answerLeft);
           down(waitLease); down(waitLimit); down(waitVouch); down(waitLoan);
           if :: frame != IDLE && ownerUses && frameAge < HOLDERLIMIT -> frameAge++ :: else fi;
           k = 0;
           do
           :: k < LOANS ->
               down(lent[k]); down(used[k]);
               if :: asked[k] && askAge[k] < LOAN -> askAge[k]++ :: else fi;
               k++
           :: else -> break
           od;
           checkSum()
       }
    od
}
