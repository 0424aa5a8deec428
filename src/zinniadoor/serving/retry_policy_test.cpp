#include "zinniadoor/serving/retry_policy.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct RetryFixture
{
    absl::Time now = absl::FromUnixSeconds(1000);
    FailedCall notRun;

    RetryFixture() { notRun.mayHaveRun = false; }
};

BOOST_FIXTURE_TEST_SUITE(RetryPolicyTest, RetryFixture)

BOOST_AUTO_TEST_CASE(policy_callMayHaveRun_isRetriedOnlyIfIdempotent)
{
    for (auto make : { plainRetryPolicy, budgetRetryPolicy }) {
        const auto policy = make({});
        BOOST_TEST(!policy->decide(FailedCall {}, now, 1).retry);
        FailedCall idempotent;
        idempotent.idempotent = true;
        BOOST_TEST(policy->decide(idempotent, now, 1).retry);
    }
}

BOOST_AUTO_TEST_CASE(policy_deadlineNear_doesNotRetry)
{
    const auto policy = budgetRetryPolicy({});
    notRun.deadline = now + absl::Milliseconds(5);
    const auto decision = policy->decide(notRun, now, 1);
    BOOST_TEST(!decision.retry);
    BOOST_TEST((decision.reason.code == base::ReasonCode::Timeout));
}

BOOST_AUTO_TEST_CASE(policy_laterAttempts_backOffLonger)
{
    RetryOptions options;
    options.maxAttempts = 10;
    const auto policy = budgetRetryPolicy(options);
    const auto first = policy->decide(notRun, now, 1);
    notRun.attempts = 3;
    const auto third = policy->decide(notRun, now, 1);
    BOOST_TEST(third.backoff > first.backoff * 3.9);
}

BOOST_AUTO_TEST_CASE(policy_startedAnswers_haveSeparateBudget)
{
    const auto policy = budgetRetryPolicy({});
    int retries = 0;
    while (policy->decide(notRun, now, 1).retry)
        ++retries;
    BOOST_TEST(retries == 2);
    notRun.hasStarted = true;
    while (policy->decide(notRun, now, 1).retry)
        ++retries;
    BOOST_TEST(retries == 66);
}

BOOST_AUTO_TEST_CASE(policy_anyFailures_staysWithinBudget)
{
    const bool holds = rc::check([] {
        const RetryOptions options;
        const auto policy = budgetRetryPolicy(options);
        const auto failures = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
        FailedCall call;
        call.mayHaveRun = false;
        double calls = 0;
        double retries = 0;
        for (const bool isFailed : failures) {
            policy->noteCall();
            ++calls;
            if (isFailed && policy->decide(call, absl::FromUnixSeconds(1), 1).retry)
                ++retries;
            RC_ASSERT(retries <= options.initialCredit + options.retryRatio * calls + 1e-6);
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
