#include "zinniadoor/serving/failure_reports.hpp"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

/// The view of one instance of a service with eight endpoints in one data centre.
struct FailureReportsFixture
{
    FailureReportsFixture()
    {
        reports.setReporter(Self);
        for (int i = 0; i < Endpoints; ++i)
            list(i);
    }

    static base::EndpointId endpoint(int i) { return base::EndpointId(absl::StrCat("e", i)); }

    void list(int i, std::uint64_t startTimeMs = 1)
    {
        reports.setEndpoint(endpoint(i), "engines", base::DataCentreId("dc"), startTimeMs, false,
                            now);
    }

    ReportEffect receive(int i, std::uint64_t reporter = 1,
                         FailureKind kind = FailureKind::NoConnection,
                         absl::Duration age = absl::ZeroDuration())
    {
        return reports.receive(
            endpoint(i), { stableDigest(endpoint(i).str()), 1, kind, reporter, ++id, age }, now);
    }

    int avoided() const
    {
        int count = 0;
        for (int i = 0; i < Endpoints; ++i)
            count += reports.isAvoided(endpoint(i), now) || reports.isOutOfUse(endpoint(i), now);
        return count;
    }

    static constexpr int Endpoints = 8;
    static constexpr std::uint64_t Self = 99;
    FailureReports reports;
    std::uint32_t id = 0;
    absl::Time now = absl::FromUnixSeconds(1000);
};

BOOST_FIXTURE_TEST_SUITE(FailureReportsTest, FailureReportsFixture)

// Guards against each instance having to find a failed endpoint by calls of its own.
BOOST_AUTO_TEST_CASE(report_ofOtherInstance_endpointIsAvoidedForAWhile)
{
    BOOST_TEST((receive(0, 1, FailureKind::NoConnection, absl::Milliseconds(300))
                == ReportEffect::Applied));
    BOOST_TEST(reports.isAvoided(endpoint(0), now + absl::Milliseconds(1199)));
    BOOST_TEST(!reports.isAvoided(endpoint(0), now + absl::Milliseconds(1200)));
    BOOST_TEST(avoided() == 1);
}

// Guards against old news: the endpoint has answered since.
BOOST_AUTO_TEST_CASE(report_olderThanAnswer_isIgnored)
{
    reports.noteAnswer(endpoint(0), false, now);
    now += absl::Milliseconds(100);
    BOOST_TEST((receive(0, 1, FailureKind::NoConnection, absl::Milliseconds(200))
                == ReportEffect::Ignored));
    BOOST_TEST((receive(0, 1, FailureKind::NoConnection, absl::Milliseconds(50))
                == ReportEffect::Applied));
}

// Guards against a partitioned instance that takes the endpoints from all others.
BOOST_AUTO_TEST_CASE(reports_ofPartitionedInstance_doNotEmptyDataCentre)
{
    receive(0);
    receive(1);
    BOOST_TEST(avoided() == 2);
    BOOST_TEST((receive(2) == ReportEffect::Disbelieved));
    for (int i = 3; i < Endpoints; ++i)
        receive(i);
    BOOST_TEST(avoided() == 0);
    BOOST_TEST((receive(4, 2) == ReportEffect::Applied)); // Confirmed by a second reporter.
    BOOST_TEST(avoided() == 1);
}

BOOST_AUTO_TEST_CASE(reports_ofSeveralInstances_halfOfEndpointsStayInUse)
{
    for (const FailureKind kind : { FailureKind::NoConnection, FailureKind::Leaving }) {
        for (std::uint64_t reporter = 1; reporter <= 3; ++reporter) {
            for (int i = 0; i < Endpoints; ++i)
                receive(i, reporter, kind);
        }
        BOOST_TEST(avoided() == Endpoints / 2);
    }
}

// Guards against avoiding a process that has taken the place of a failed one.
BOOST_AUTO_TEST_CASE(endpoint_restarted_isUsedAgain)
{
    receive(0);
    receive(1, 1, FailureKind::Replaced);
    BOOST_TEST(avoided() == 2);
    list(0, 2);
    list(1, 2);
    BOOST_TEST(avoided() == 0);
    BOOST_TEST((receive(0) == ReportEffect::Ignored)); // Of the process before.
}

BOOST_AUTO_TEST_CASE(endpoint_replaced_isOutOfUseUntilListedAgain)
{
    receive(0, 1, FailureKind::Replaced);
    now += absl::Seconds(2);
    list(0);
    BOOST_TEST(reports.isOutOfUse(endpoint(0), now)); // The record may be older than the answer.
    now += absl::Seconds(2);
    BOOST_TEST(reports.isOutOfUse(endpoint(0), now));
    list(0);
    BOOST_TEST(!reports.isOutOfUse(endpoint(0), now));
}

BOOST_AUTO_TEST_CASE(probe_oneInstanceAtATime_endsFalseReport)
{
    const std::vector<std::string> names { "a", "b", "c", "d" };
    std::vector<FailureReports> all(names.size());
    const FailureReport report { stableDigest("e0"), 1, FailureKind::NoAnswer, 1, 1, {} };
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].setReporter(Self + i);
        all[i].setInstances(names[i], names);
        for (int e = 0; e < Endpoints; ++e)
            all[i].setEndpoint(endpoint(e), "engines", base::DataCentreId("dc"), 1, false, now);
        all[i].receive(endpoint(0), report, now);
    }
    std::vector<std::size_t> probing;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (!all[i].isAvoided(endpoint(0), now))
            probing.push_back(i);
    }
    BOOST_REQUIRE(probing.size() == 1u);
    FailureReports &prober = all[probing.front()];
    prober.noteCall(endpoint(0), now);
    BOOST_TEST(prober.isAvoided(endpoint(0), now)); // It probes with one request only.
    now += absl::Milliseconds(10);
    const auto answered = prober.noteAnswer(endpoint(0), false, now);
    BOOST_REQUIRE(answered.has_value());
    for (FailureReports &other : all)
        other.receive(endpoint(0), *answered, now);
    for (const FailureReports &instance : all)
        BOOST_TEST(!instance.isAvoided(endpoint(0), now));
}

// Guards against a chain of probes in which each instance pays for a failed call.
BOOST_AUTO_TEST_CASE(probe_fails_nextInstanceWaitsForItsTurn)
{
    const std::vector<std::string> names { "a", "b", "c", "d" };
    std::vector<FailureReports> all(names.size());
    const FailureReport report { stableDigest("e0"), 1, FailureKind::NoConnection, 1, 1, {} };
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].setReporter(Self + i);
        all[i].setInstances(names[i], names);
        for (int e = 0; e < Endpoints; ++e)
            all[i].setEndpoint(endpoint(e), "engines", base::DataCentreId("dc"), 1, false, now);
        all[i].receive(endpoint(0), report, now);
    }
    int probes = 0;
    const absl::Time end = now + absl::Milliseconds(480);
    for (; now < end; now += absl::Milliseconds(20)) {
        for (FailureReports &prober : all) {
            if (prober.isAvoided(endpoint(0), now))
                continue;
            ++probes;
            prober.noteCall(endpoint(0), now);
            const auto failed = prober.noteOwn(endpoint(0), FailureKind::NoConnection, now);
            for (FailureReports &other : all) {
                if (failed)
                    other.receive(endpoint(0), *failed, now);
            }
        }
    }
    BOOST_TEST(probes == 1);
}

// Guards against copies of a report, which is sent several times, that outlive a successful probe.
BOOST_AUTO_TEST_CASE(report_copiedAfterAnswer_isIgnored)
{
    const FailureReport first { stableDigest("e0"), 1, FailureKind::Replaced, 1, 1, {} };
    reports.receive(endpoint(0), first, now);
    now += absl::Milliseconds(50);
    receive(0, 2, FailureKind::Answered);
    now += absl::Milliseconds(50);
    FailureReport copy = first;
    copy.age = absl::Milliseconds(100);
    reports.receive(endpoint(0), copy, now);
    BOOST_TEST(avoided() == 0);
}

// Guards against reports of an instance whose own connection is at fault.
BOOST_AUTO_TEST_CASE(own_manyFailures_areNotReported)
{
    int sent = 0;
    for (int i = 0; i < Endpoints; ++i)
        sent += reports.noteOwn(endpoint(i), FailureKind::NoConnection, now).has_value();
    BOOST_TEST(sent == 2);
    BOOST_TEST(avoided() == 0);
}

BOOST_AUTO_TEST_CASE(reports_switchedOff_haveNoEffect)
{
    reports.setEnabled(false);
    BOOST_TEST((receive(0) == ReportEffect::Ignored));
    BOOST_TEST(!reports.noteOwn(endpoint(1), FailureKind::NoConnection, now));
    BOOST_TEST(avoided() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
