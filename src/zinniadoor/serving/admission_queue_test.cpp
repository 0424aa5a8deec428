#include "zinniadoor/serving/admission_queue.hpp"

#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct QueueFixture
{
    std::unique_ptr<AdmissionQueue> queue = fairQueue({});
    absl::Time now = absl::FromUnixSeconds(1000);
    int next = 0;

    RequestFacts request(const std::string &organisation, Urgency urgency = Urgency::Urgent,
                         std::uint32_t tokens = 1000)
    {
        RequestFacts facts;
        facts.id = base::RequestId("r" + std::to_string(next++));
        facts.organisation = base::OrganisationId(organisation);
        facts.model = base::ModelId("m");
        facts.urgency = urgency;
        facts.promptTokens = tokens / 2;
        facts.maxOutputTokens = tokens - tokens / 2;
        return facts;
    }

    static bool always(const RequestFacts & /*request*/) { return true; }

    std::optional<RequestFacts> pop() { return queue->pop(now, always); }
};

BOOST_FIXTURE_TEST_SUITE(AdmissionQueueTest, QueueFixture)

BOOST_AUTO_TEST_CASE(queue_urgentAfterDeferable_popsUrgentFirst)
{
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(!queue->push(request("a", Urgency::Deferable), now));
    BOOST_TEST(!queue->push(request("b"), now));
    const auto first = pop();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST((first->urgency == Urgency::Urgent));
}

BOOST_AUTO_TEST_CASE(queue_sustainedUrgentLoad_stillStartsDeferable)
{
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!queue->push(request("a", Urgency::Deferable), now));
    int deferable = 0;
    for (int i = 0; i < 400; ++i) {
        queue->push(request("b"), now);
        queue->push(request("b"), now);
        now += absl::Milliseconds(10);
        const auto popped = pop();
        BOOST_REQUIRE(popped.has_value());
        deferable += popped->urgency == Urgency::Deferable ? 1 : 0;
    }
    BOOST_TEST(deferable >= 15);
    BOOST_TEST(deferable <= 25);
}

BOOST_AUTO_TEST_CASE(queue_withWeights_sharesTokensByWeight)
{
    queue->setWeight(base::OrganisationId("a"), 3);
    std::map<std::string, int> popped;
    for (int i = 0; i < 300; ++i) {
        BOOST_TEST(!queue->push(request("a"), now));
        BOOST_TEST(!queue->push(request("b"), now));
    }
    for (int i = 0; i < 200; ++i)
        ++popped[pop()->organisation.str()];
    BOOST_TEST(popped["a"] >= 145);
    BOOST_TEST(popped["a"] <= 155);
}

BOOST_AUTO_TEST_CASE(queue_modelWithoutCapacity_blocksOnlyItself)
{
    RequestFacts blocked = request("a");
    blocked.model = base::ModelId("full");
    BOOST_TEST(!queue->push(blocked, now));
    BOOST_TEST(!queue->push(request("a"), now));
    const auto popped
        = queue->pop(now, [](const RequestFacts &facts) { return facts.model.str() != "full"; });
    BOOST_REQUIRE(popped.has_value());
    BOOST_TEST(popped->model.str() == "m");
}

BOOST_AUTO_TEST_CASE(queue_tooLongForDeadline_refusesImmediately)
{
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!queue->push(request("a"), now));
    // One request of 1,000 tokens is popped per second, so the remaining 90 take about 90 s.
    for (int i = 0; i < 10; ++i) {
        now += absl::Seconds(1);
        BOOST_REQUIRE(pop().has_value());
    }
    RequestFacts late = request("a");
    late.deadline = now + absl::Seconds(30);
    const auto refusal = queue->push(late, now);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->reason.code == base::ReasonCode::Overloaded));
    BOOST_TEST(refusal->retryAfter > absl::Seconds(20));
    // An organisation without queued requests is served in its turn and meets the deadline.
    RequestFacts other = request("b");
    other.deadline = now + absl::Seconds(30);
    BOOST_TEST(!queue->push(other, now));
}

BOOST_AUTO_TEST_CASE(queue_deadlinePassed_expires)
{
    RequestFacts facts = request("a");
    facts.deadline = now + absl::Seconds(5);
    BOOST_TEST(!queue->push(facts, now));
    BOOST_TEST(queue->expire(now + absl::Seconds(4)).empty());
    BOOST_TEST(queue->expire(now + absl::Seconds(6)).size() == 1);
    BOOST_TEST(queue->size() == 0);
}

BOOST_AUTO_TEST_CASE(queue_organisationAtItsLimit_refusesOnlyIt)
{
    QueueOptions options;
    options.maxUrgentPerOrganisation = 2;
    queue = fairQueue(options);
    BOOST_TEST(!queue->push(request("a"), now));
    BOOST_TEST(!queue->push(request("a"), now));
    BOOST_TEST(queue->push(request("a"), now).has_value());
    BOOST_TEST(!queue->push(request("b"), now));
}

BOOST_AUTO_TEST_CASE(queue_startedRequestWhileFull_isAdmittedAndServedFirst)
{
    QueueOptions options;
    options.maxUrgentPerOrganisation = 1;
    queue = fairQueue(options);
    BOOST_TEST(!queue->push(request("a"), now));
    RequestFacts started = request("a");
    started.hasStarted = true;
    BOOST_TEST(!queue->push(started, now));
    BOOST_TEST(pop()->id == started.id);
}

BOOST_AUTO_TEST_CASE(queue_removedRequest_isNotPopped)
{
    const RequestFacts facts = request("a");
    BOOST_TEST(!queue->push(facts, now));
    BOOST_TEST(queue->remove(facts.id, now));
    BOOST_TEST(!queue->remove(facts.id, now));
    BOOST_TEST(!pop().has_value());
}

BOOST_AUTO_TEST_CASE(queue_emptiedByRemoval_idleTimeDoesNotLowerDrainRate)
{
    for (const auto make : { fairQueue, fifoQueue }) {
        queue = make({});
        BOOST_TEST(!queue->push(request("a"), now));
        now += absl::Seconds(1);
        BOOST_REQUIRE(pop().has_value());
        const double before = *queue->drainRate(now);
        const RequestFacts leaving = request("a");
        BOOST_TEST(!queue->push(leaving, now));
        BOOST_TEST(queue->remove(leaving.id, now));
        now += absl::Seconds(2);
        BOOST_TEST(!queue->push(request("a"), now));
        BOOST_TEST(*queue->drainRate(now) == before, boost::test_tools::tolerance(0.01));
    }
}

// Each admitted request leaves the queue at most once, popped or expired, and none is lost.
BOOST_AUTO_TEST_CASE(queue_anyOperations_returnEachRequestOnce)
{
    const bool holds = rc::check([] {
        const bool isFair = *rc::gen::arbitrary<bool>();
        QueueOptions options;
        options.maxUrgentWait = absl::Seconds(20);
        options.maxDeferableWait = absl::Seconds(40);
        const auto tested = isFair ? fairQueue(options) : fifoQueue(options);
        std::map<std::string, int> seen;
        absl::Time at = absl::FromUnixSeconds(1000);
        std::size_t admitted = 0;
        std::size_t left = 0;
        const auto steps
            = *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
        for (const std::uint16_t step : steps) {
            at += absl::Milliseconds(step % 1000);
            RequestFacts facts;
            facts.id = base::RequestId(std::to_string(seen.size()));
            facts.organisation = base::OrganisationId(std::to_string(step / 4 % 3));
            facts.model = base::ModelId(std::to_string(step / 16 % 2));
            facts.urgency = step % 3 == 0 ? Urgency::Deferable : Urgency::Urgent;
            facts.promptTokens = step % 4000;
            if (step % 5 == 0)
                facts.deadline = at + absl::Seconds(step % 30);
            if (step % 2 == 0) {
                seen.try_emplace(facts.id.str(), 0);
                admitted += tested->push(facts, at) ? 0 : 1;
            } else if (step % 7 == 0) {
                for (const ExpiredRequest &expired : tested->expire(at)) {
                    RC_ASSERT(++seen[expired.request.id.str()] == 1);
                    ++left;
                }
            } else if (const auto popped = tested->pop(at, QueueFixture::always)) {
                RC_ASSERT(++seen[popped->id.str()] == 1);
                ++left;
            }
            RC_ASSERT(tested->size() == admitted - left);
        }
    });
    BOOST_TEST(holds);
}

// A request waits for a bounded number of tokens, however much another organisation has queued.
BOOST_AUTO_TEST_CASE(queue_floodedByOneOrganisation_boundsWaitOfAnother)
{
    const bool holds = rc::check([] {
        const auto tested = fairQueue({});
        const absl::Time at = absl::FromUnixSeconds(1000);
        const auto flood = *rc::gen::inRange(1, 500);
        const auto cost = *rc::gen::inRange<std::uint32_t>(1, 8000);
        QueueFixture fixture;
        for (int i = 0; i < flood; ++i)
            tested->push(fixture.request("noisy", Urgency::Urgent, 2000), at);
        const RequestFacts other = fixture.request("quiet", Urgency::Urgent, cost);
        RC_ASSERT(!tested->push(other, at));
        std::uint64_t ahead = 0;
        while (true) {
            const auto popped = tested->pop(at, QueueFixture::always);
            RC_ASSERT(popped.has_value());
            if (popped->id == other.id)
                break;
            ahead += tokenCost(*popped);
        }
        RC_ASSERT(ahead <= cost + 2 * 2000 + 2 * 1024);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
