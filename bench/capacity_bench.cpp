// Measures the resources that a daemon uses, with real processes: memory per organisation, endpoint
// and open stream, processor time per request and token, control traffic per instance, and the time
// until a configuration is active on all instances. Prints one line per figure; see
// docs/CAPACITY.md.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <sodium.h>
#include <tclap/CmdLine.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

#include "e2e/cluster.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using Json = nlohmann::json;

struct ProcessCost
{
    double cpuSeconds = 0;
    double residentMegabytes = 0;
};

ProcessCost costOf(pid_t pid)
{
    ProcessCost cost;
    std::ifstream stat(absl::StrCat("/proc/", pid, "/stat"));
    std::string line;
    std::getline(stat, line);
    const std::vector<std::string> fields = absl::StrSplit(line.substr(line.rfind(')') + 2), ' ');
    constexpr std::size_t UserTicks = 11;
    constexpr std::size_t SystemTicks = 12;
    constexpr std::size_t ResidentPages = 21;
    const double ticks = std::stod(fields[UserTicks]) + std::stod(fields[SystemTicks]);
    cost.cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    cost.residentMegabytes
        = std::stod(fields[ResidentPages]) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    return cost;
}

ProcessCost costOf(Cluster &cluster, std::size_t daemon)
{
    return costOf(cluster.daemon(daemon).process->pid());
}

/// Sum of all samples of a metric of a daemon.
double metric(Cluster &cluster, std::size_t daemon, const std::string &name)
{
    const HttpResponse answer = get(cluster.daemon(daemon).adminUrl("/metrics"));
    double sum = 0;
    for (const auto &view : absl::StrSplit(answer.body, '\n')) {
        const std::string line(view);
        if (absl::StartsWith(line, name))
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

bool waitUntilServing(Cluster &cluster)
{
    if (!cluster.waitUntilReady())
        return false;
    return waitUntil(
        [&] { return e2e::call(cluster.chat(0, 0, "warm up", 1, false)).status == 200; });
}

std::vector<TestOrganisation> organisations(std::size_t count)
{
    std::vector<TestOrganisation> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({ absl::StrCat("org-", i), 10000, 10000 });
    return result;
}

void measureOrganisations()
{
    for (const std::size_t count : { 10, 1000, 6600 }) {
        Cluster::Options options;
        options.fleet.engines = 1;
        options.organisations = organisations(count);
        Cluster cluster(options);
        if (!waitUntilServing(cluster))
            std::printf("organisations %zu: NOT READY\n", count);
        const ProcessCost before = costOf(cluster, 0);
        absl::SleepFor(absl::Seconds(5));
        const ProcessCost after = costOf(cluster, 0);
        std::printf("organisations %zu: resident %.1f MB, idle processor %.2f%% of a core\n", count,
                    after.residentMegabytes, (after.cpuSeconds - before.cpuSeconds) / 5 * 100);
    }
}

void measureEndpoints()
{
    for (const std::size_t count : { 1, 500, 2100 }) {
        Cluster::Options options;
        options.fleet.engines = 1;
        Cluster cluster(options);
        // Nothing listens on the additional addresses, so that each probe ends in a refused
        // connection.
        cluster.publish([&](std::string text) {
            for (std::size_t i = 1; i < count; ++i)
                absl::StrAppend(&text, "  - {id: more-", i, ", kind: engine, data_centre: dc-",
                                i % 11, ", address: \"127.1.", i / 250, ".", i % 250 + 1,
                                ":9\", models: [parrot]}\n");
            return text;
        });
        if (!cluster.waitUntilReady())
            std::printf("endpoints %zu: NOT READY\n", count);
        absl::SleepFor(absl::Seconds(2));
        const ProcessCost before = costOf(cluster, 0);
        absl::SleepFor(absl::Seconds(5));
        const ProcessCost after = costOf(cluster, 0);
        std::printf("endpoints %zu: resident %.1f MB, idle processor %.2f%% of a core\n", count,
                    after.residentMegabytes, (after.cpuSeconds - before.cpuSeconds) / 5 * 100);
    }
}

void measureStreams()
{
    Cluster::Options options;
    options.fleet.engines = 4;
    options.fleet.engineArguments = { "--tokens-per-second", "2", "--slots", "500" };
    options.endpointOptions = ", slots: 500";
    Cluster cluster(options);
    if (!waitUntilServing(cluster))
        std::printf("streams: NOT READY\n");
    std::vector<std::thread> callers;
    std::atomic<bool> leave { false };
    std::size_t open = 0;
    for (const std::size_t count : { 0, 200, 400, 800 }) {
        for (; open < count; ++open) {
            callers.emplace_back([&cluster, &leave, open] {
                HttpRequest call
                    = cluster.chat(0, open % 2, absl::StrCat("stream ", open), 4000, true);
                call.timeout = absl::Minutes(5);
                callStreamed(call, [&leave](std::string_view) { return !leave; });
            });
        }
        absl::SleepFor(absl::Seconds(4));
        const ProcessCost before = costOf(cluster, 0);
        absl::SleepFor(absl::Seconds(5));
        const ProcessCost after = costOf(cluster, 0);
        std::printf("streams %zu (2 tokens/s each): active %.0f, resident %.1f MB, processor %.2f%%"
                    " of a core\n",
                    count, metric(cluster, 0, "zinniadoor_active_requests{phase=\"running\"}"),
                    after.residentMegabytes, (after.cpuSeconds - before.cpuSeconds) / 5 * 100);
    }
    leave = true;
    for (std::thread &caller : callers)
        caller.join();
}

/// Sends `count` requests from `callers` threads and returns the daemon's processor time in
/// seconds.
double driveRequests(Cluster &cluster, int count, int callers, int tokens, int &failed)
{
    std::atomic<int> next { 0 };
    std::atomic<int> failures { 0 };
    const ProcessCost before = costOf(cluster, 0);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            for (int n = next++; n < count; n = next++) {
                const HttpResponse answer = e2e::call(
                    cluster.chat(0, n % 2, absl::StrCat("request number ", n), tokens, true));
                failures += answer.status == 200 && answer.complete ? 0 : 1;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    failed = failures;
    return costOf(cluster, 0).cpuSeconds - before.cpuSeconds;
}

void measureRequests()
{
    Cluster::Options options;
    options.fleet.engines = 4;
    options.fleet.engineArguments = { "--tokens-per-second", "0" };
    options.organisations = { { "a", 100000, 100000 }, { "b", 100000, 100000 } };
    Cluster cluster(options);
    if (!waitUntilServing(cluster))
        std::printf("requests: NOT READY\n");
    constexpr int Requests = 3000;
    for (const int tokens : { 1, 50, 200 }) {
        int failed = 0;
        const absl::Time begin = absl::Now();
        const double cpu = driveRequests(cluster, Requests, 16, tokens, failed);
        const double seconds = absl::ToDoubleSeconds(absl::Now() - begin);
        std::printf("requests with %d tokens: %d failed, %.0f requests/s, %.0f us of processor a "
                    "request\n",
                    tokens, failed, Requests / seconds, cpu / Requests * 1e6);
    }
}

void measureControl(std::size_t daemons)
{
    Cluster::Options options;
    options.daemons = daemons;
    options.fleet.engines = 2;
    Cluster cluster(options);
    if (!waitUntilServing(cluster))
        std::printf("daemons %zu: NOT READY\n", daemons);
    absl::SleepFor(absl::Seconds(3));
    constexpr double Seconds = 10;
    const ProcessCost before = costOf(cluster, 0);
    const double peerBytes = metric(cluster, 0, "zinniadoor_peer_sent_bytes_total");
    const double logBytes = metric(cluster, 0, "zinniadoor_log_append_bytes_total");
    const double appends = metric(cluster, 0, "zinniadoor_log_appends_total");
    absl::SleepFor(absl::Seconds(Seconds));
    const ProcessCost after = costOf(cluster, 0);
    std::printf("daemons %zu: peers %.0f B/s, log %.0f B/s in %.2f appends/s, resident %.1f MB, "
                "processor %.2f%% of a core\n",
                daemons,
                (metric(cluster, 0, "zinniadoor_peer_sent_bytes_total") - peerBytes) / Seconds,
                (metric(cluster, 0, "zinniadoor_log_append_bytes_total") - logBytes) / Seconds,
                (metric(cluster, 0, "zinniadoor_log_appends_total") - appends) / Seconds,
                after.residentMegabytes, (after.cpuSeconds - before.cpuSeconds) / Seconds * 100);
}

void measureFanOut(std::size_t organisationCount)
{
    Cluster::Options options;
    options.daemons = 8;
    options.fleet.engines = 1;
    options.organisations = organisations(organisationCount);
    Cluster cluster(options);
    if (!waitUntilServing(cluster))
        std::printf("fan-out: NOT READY\n");
    std::vector<double> seconds;
    for (int i = 0; i < 20; ++i) {
        const absl::Time begin = absl::Now();
        cluster.publish();
        const bool ready = cluster.waitUntilReady();
        seconds.push_back(ready ? absl::ToDoubleSeconds(absl::Now() - begin) : 1e9);
    }
    std::sort(seconds.begin(), seconds.end());
    std::printf("configuration of %zu organisations in force on 8 instances: median %.3f s, longest"
                " %.3f s of %zu\n",
                organisationCount, seconds[seconds.size() / 2], seconds.back(), seconds.size());
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures the resources that a daemon uses", ' ', "0.1.0");
    TCLAP::UnlabeledMultiArg<std::string> parts(
        "parts", "organisations, endpoints, streams, requests, control, fanout; default: all",
        false, "PART", line);
    line.parse(argc, argv);
    if (sodium_init() < 0)
        return 1;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::vector<std::string> &wanted = parts.getValue();
    const auto isWanted = [&wanted](const char *part) {
        return wanted.empty() || std::find(wanted.begin(), wanted.end(), part) != wanted.end();
    };
    if (isWanted("organisations"))
        measureOrganisations();
    if (isWanted("endpoints"))
        measureEndpoints();
    if (isWanted("streams"))
        measureStreams();
    if (isWanted("requests"))
        measureRequests();
    if (isWanted("control")) {
        for (const std::size_t daemons : { 2, 8, 24 })
            measureControl(daemons);
    }
    if (isWanted("fanout")) {
        measureFanOut(5);
        measureFanOut(6600);
    }
    return 0;
}
