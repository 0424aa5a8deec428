/* Every property is an assertion. If ONLY is defined, only the property selected by ONLY_<name> is
 * checked, so that a mutant must violate the property for which it is listed. */

#if !defined(ONLY) || defined(ONLY_oneHolder)
#define CHECK_oneHolder(x) assert(x)
#else
#define CHECK_oneHolder(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_epochsAscend)
#define CHECK_epochsAscend(x) assert(x)
#else
#define CHECK_epochsAscend(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_noConflictingOrders)
#define CHECK_noConflictingOrders(x) assert(x)
#else
#define CHECK_noConflictingOrders(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_senderHadAuthority)
#define CHECK_senderHadAuthority(x) assert(x)
#else
#define CHECK_senderHadAuthority(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_sumOfSharesAtMostOne)
#define CHECK_sumOfSharesAtMostOne(x) assert(x)
#else
#define CHECK_sumOfSharesAtMostOne(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_runsAtMostOnce)
#define CHECK_runsAtMostOnce(x) assert(x)
#else
#define CHECK_runsAtMostOnce(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_notRunIsTrue)
#define CHECK_notRunIsTrue(x) assert(x)
#else
#define CHECK_notRunIsTrue(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_sameFigures)
#define CHECK_sameFigures(x) assert(x)
#else
#define CHECK_sameFigures(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_countedOnce)
#define CHECK_countedOnce(x) assert(x)
#else
#define CHECK_countedOnce(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_oneActor)
#define CHECK_oneActor(x) assert(x)
#else
#define CHECK_oneActor(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_numbersAscend)
#define CHECK_numbersAscend(x) assert(x)
#else
#define CHECK_numbersAscend(x) skip
#endif
#if !defined(ONLY) || defined(ONLY_noTurns)
#define CHECK_noTurns(x) assert(x)
#else
#define CHECK_noTurns(x) skip
#endif
