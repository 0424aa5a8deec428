#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/snapshot.hpp"

// Measures how much of the log a starting instance reads and how long that takes, after 24 hours of
// heartbeats and configuration changes, with and without snapshots.

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;

constexpr std::size_t SecondsADay = 86'400;

struct LogPlan
{
    std::size_t organisations = 6600;
    std::size_t changes = 2400; ///< Per day.
    std::size_t wholeBundles = 12; ///< Changes that publish a bundle; the others withdraw a key.
    std::size_t instances = 8;
    std::size_t hours = 24;
    base::Offset snapshotEvery = 0; ///< Number of frames; 0 disables snapshots.
};

double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    const std::chrono::duration<double, std::milli> passed
        = std::chrono::steady_clock::now() - start;
    return passed.count();
}

/// Builds a log frame by frame.
class LogBuilder
{
public:
    explicit LogBuilder(const LogPlan &plan)
        : plan_(plan)
    { }

    void run()
    {
        publish();
        for (std::size_t i = 0; i < plan_.instances; ++i)
            append(instance(i), { started(i) });
        const std::size_t seconds = plan_.hours * SecondsADay / 24;
        const std::size_t changes = plan_.changes * plan_.hours / 24;
        std::size_t changed = 0;
        for (std::size_t second = 0; second < seconds; ++second) {
            for (std::size_t i = 0; i < plan_.instances; ++i)
                heartbeat(i, second);
            if (changed * seconds < second * changes)
                change(changed++, changes);
        }
    }

    const std::vector<std::string> &entries() const { return entries_; }
    const State &state() const { return state_; }
    std::size_t snapshots() const { return snapshots_; }
    std::size_t snapshotBytes() const { return snapshotBytes_; }

private:
    static base::InstanceId instance(std::size_t i)
    {
        return base::InstanceId(absl::StrCat("zinniadoor-", i));
    }

    static InstanceStarted started(std::size_t i)
    {
        return {
            instance(i), 1, base::DataCentreId("accra-1"), absl::StrCat("10.0.0.", i, ":7000"), {}
        };
    }

    void append(const base::InstanceId &writer, std::vector<Record> records)
    {
        Frame frame;
        frame.writer = writer;
        frame.incarnation = 1;
        frame.sequence = ++sequence_;
        frame.snapshotOffset = state_.snapshots().newest().firstPart;
        frame.bundleVersion = state_.configuration().version();
        frame.records = std::move(records);
        entries_.push_back(encodeFrame(frame));
        state_.apply(frame, entries_.size());
    }

    void heartbeat(std::size_t i, std::size_t second)
    {
        std::vector<Record> records;
        const base::OrganisationId organisation(absl::StrCat("organisation-", second % 97));
        records.emplace_back(
            UsageCounted { instance(i), 1, { { second + 1, organisation, 900, 200 } } });
        append(instance(i), std::move(records));
        const bool due = plan_.snapshotEvery != 0 && isSnapshotDue(state_, plan_.snapshotEvery);
        if (i == 0 && due)
            writeSnapshot();
    }

    void writeSnapshot()
    {
        ++snapshots_;
        for (SnapshotPart &part : splitSnapshot(state_)) {
            snapshotBytes_ += part.bytes.size();
            append(instance(0), { std::move(part) });
        }
    }

    void change(std::size_t index, std::size_t changes)
    {
        const std::size_t every = plan_.wholeBundles == 0 ? 0 : changes / plan_.wholeBundles;
        if (every != 0 && index % every == 0)
            publish();
        else
            withdraw(index);
    }

    void publish()
    {
        const std::uint64_t version = state_.configuration().version() + 1;
        std::string yaml = absl::StrCat("version: ", version, "\n");
        if (version > 1)
            absl::StrAppend(&yaml, "predecessor: ", state_.configuration().digest(), "\n");
        absl::StrAppend(&yaml, "operators: [{id: ama, public_key: ", keys_.publicKey, "}]\n");
        absl::StrAppend(&yaml, "organisations:\n");
        const std::string digest = keyDigest("salt", "secret");
        for (std::size_t i = 0; i < plan_.organisations; ++i)
            absl::StrAppend(&yaml, "  - id: organisation-", i, "\n    rate_per_second: 20\n",
                            "    burst: 40\n    keys: [{id: key-", i,
                            ", salt: 0123456789abcdef, digest: ", digest, "}]\n");
        const Signature signature = *signText(yaml, "ama", keys_.secretKey);
        bundleBytes_ = yaml.size();
        append(base::InstanceId(absl::StrCat("tool/", entries_.size())),
               { BundlePublished { std::move(yaml), { signature } } });
    }

    void withdraw(std::size_t index)
    {
        const base::KeyId key(absl::StrCat("old-key-", index));
        const std::string text = withdrawalText(key, state_.configuration().digest());
        append(base::InstanceId(absl::StrCat("tool/", entries_.size())),
               { KeyWithdrawn { text, key, { *signText(text, "ama", keys_.secretKey) } } });
    }

public:
    std::size_t bundleBytes() const { return bundleBytes_; }

private:
    LogPlan plan_;
    KeyPair keys_ = generateKeyPair();
    State state_;
    std::vector<std::string> entries_;
    std::uint64_t sequence_ = 0;
    std::size_t snapshots_ = 0;
    std::size_t snapshotBytes_ = 0;
    std::size_t bundleBytes_ = 0;
};

class NullObserver : public ReplayObserver
{
public:
    void onApplied(const Frame & /*frame*/, base::Offset /*offset*/,
                   const ApplyResult & /*result*/) override
    { }
    void onSnapshotLoaded(const State & /*state*/) override { }
};

ports::LogPage read(const std::vector<std::string> &entries, const ReplayRead &request)
{
    ports::LogPage page;
    page.firstOffset = 1;
    page.lastOffset = entries.size();
    for (base::Offset at = request.after + 1;
         at <= entries.size() && page.entries.size() < request.limit; ++at)
        page.entries.push_back({ at, entries[at - 1] });
    return page;
}

void measure(const LogPlan &plan)
{
    LogBuilder log(plan);
    log.run();
    const auto start = std::chrono::steady_clock::now();
    Replayer replayer;
    NullObserver observer;
    while (!replayer.caughtUp())
        replayer.onPage(preparePage(read(log.entries(), replayer.nextRead())), observer);
    const double startup = millisecondsSince(start);
    const auto encodeStart = std::chrono::steady_clock::now();
    const std::string bytes = encodeState(replayer.state());
    const double encoding = millisecondsSince(encodeStart);
    const auto decodeStart = std::chrono::steady_clock::now();
    const bool equal = encodeState(*decodeState(bytes)) == encodeState(log.state());
    const double decoding = millisecondsSince(decodeStart);
    std::printf(
        "| %llu | %zu | %zu | %llu | %.1f | %.0f | %zu | %.1f | %.2f | %.0f | %.0f | %s |\n",
        static_cast<unsigned long long>(plan.snapshotEvery), plan.wholeBundles,
        log.entries().size(), static_cast<unsigned long long>(replayer.recordsRead()),
        static_cast<double>(replayer.bytesRead()) / 1e6, startup, log.snapshots(),
        static_cast<double>(log.snapshotBytes()) / 1e6,
        static_cast<double>(log.bundleBytes()) / 1e6, encoding, decoding, equal ? "yes" : "NO");
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Measures the start of an instance from the log");
    TCLAP::ValueArg<std::size_t> organisations("", "organisations", "organisations in the bundle",
                                               false, 6600, "n", command);
    TCLAP::ValueArg<std::size_t> changes("", "changes", "configuration changes per day", false,
                                         2400, "n", command);
    TCLAP::ValueArg<std::size_t> bundles("", "whole-bundles", "changes that publish a whole bundle",
                                         false, 12, "n", command);
    TCLAP::ValueArg<std::size_t> hours("", "hours", "hours of log", false, 24, "n", command);
    TCLAP::MultiArg<std::size_t> every("", "snapshot-every", "frames between snapshots; 0 for none",
                                       false, "n", command);
    command.parse(argc, argv);
    std::printf(
        "| snapshot every (frames) | whole bundles | records in log | records read | MB read "
        "| start ms | snapshots written | MB written | bundle MB | encode ms | decode and "
        "encode twice ms | equal |\n");
    for (const std::size_t frames : every.getValue()) {
        LogPlan plan;
        plan.organisations = organisations.getValue();
        plan.changes = changes.getValue();
        plan.wholeBundles = bundles.getValue();
        plan.hours = hours.getValue();
        plan.snapshotEvery = frames;
        measure(plan);
    }
    return 0;
}
