#include <cstdio>
#include <ctime>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/stable_hash.hpp"

// Measures membership in groups of several sizes on a virtual clock: bytes and processor time per
// instance, the age of updates from members, and the time until all members have detected a loss or
// received a crash digest. Prints a Markdown table.

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;

constexpr int Seconds = 60;
constexpr std::size_t HeaderBytes = 28; ///< UDP and IPv4.
constexpr int EndpointsPerInstance = 20; ///< In use at the same time.

base::InstanceId idOf(int i)
{
    return base::InstanceId("entry-" + std::to_string(i));
}

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class Group
{
public:
    Group(int size, double lossRate, std::uint64_t seed)
        : random_(seed)
        , lossRate_(lossRate)
    {
        std::vector<ListedMember> all;
        for (int i = 0; i < size; ++i)
            all.push_back({ idOf(i), 1, base::DataCentreId("zone-" + std::to_string(i % 3)) });
        for (int i = 0; i < size; ++i) {
            MembershipOptions options;
            options.instance = idOf(i);
            options.incarnation = 1;
            options.dataCentre = all[static_cast<std::size_t>(i)].dataCentre;
            options.seed = seed * 1000 + static_cast<std::uint64_t>(i);
            members_.emplace_back(options);
            members_.back().setMembers(all, now_);
            indices_[idOf(i)] = static_cast<std::size_t>(i);
        }
        status_.bundleVersion = 1;
        for (int i = 0; i < EndpointsPerInstance; ++i)
            status_.inFlight[base::EndpointId("engine-" + std::to_string(i))] = 3;
        for (std::uint32_t i = 0; i < 30; ++i)
            status_.organisations.push_back({ i, 1, 1, 1 });
    }

    void advanceOneSecond()
    {
        now_ += absl::Seconds(1);
        std::vector<std::pair<std::size_t, std::string>> delivered;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (i == silentMember_)
                continue;
            const double before = processorSeconds();
            const std::vector<OutgoingMessage> messages = members_[i].tick(status_, now_);
            for (const OutgoingMessage &outgoing : messages) {
                const std::string bytes = encodePeerMessage(outgoing.message);
                sentBytes_ += bytes.size() + HeaderBytes;
                const std::size_t to = indices_.at(outgoing.to);
                const bool isDelivered = to != silentMember_
                    && std::uniform_real_distribution<double>(0, 1)(random_) >= lossRate_;
                if (isDelivered)
                    delivered.emplace_back(to, bytes);
            }
            processor_ += processorSeconds() - before;
        }
        const double before = processorSeconds();
        for (const auto &[to, bytes] : delivered)
            members_[to].onHeartbeat(std::get<Heartbeat>(*decodePeerMessage(bytes)), now_);
        processor_ += processorSeconds() - before;
    }

    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
            advanceOneSecond();
    }

    /// Counts pairs in which one member considers the other lost, though all are running.
    std::size_t falseLossCount() const
    {
        std::size_t count = 0;
        for (const Membership &member : members_)
            count += member.lostMembers(now_).size();
        return count;
    }

    absl::Duration oldestUpdateAge() const
    {
        absl::Duration oldest;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            for (const auto &[id, j] : indices_) {
                if (i != j)
                    oldest = std::max(oldest, now_ - members_[i].find(id)->lastReceivedAt);
            }
        }
        return oldest;
    }

    int secondsUntilLossDetectedByAll()
    {
        silentMember_ = 1;
        for (int i = 1; i <= 600; ++i) {
            advanceOneSecond();
            std::size_t informed = 0;
            for (const Membership &member : members_)
                informed += member.lostMembers(now_).count(idOf(1));
            if (informed + 1 == members_.size())
                return i;
        }
        return -1;
    }

    int secondsUntilDigestReceivedByAll()
    {
        constexpr std::uint64_t Digest = 42;
        members_[0].reportCrash(Digest, now_);
        for (int i = 1; i <= 600; ++i) {
            advanceOneSecond();
            std::size_t informed = 0;
            for (const Membership &member : members_)
                informed += member.crashDigests(now_).count(Digest);
            if (informed == members_.size())
                return i;
        }
        return -1;
    }

    double sentBytesPerSecond() const
    {
        return static_cast<double>(sentBytes_) / Seconds / static_cast<double>(members_.size());
    }
    double processorMicroseconds() const
    {
        return processor_ * 1e6 / Seconds / static_cast<double>(members_.size());
    }

private:
    std::mt19937_64 random_;
    double lossRate_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<Membership> members_;
    std::map<base::InstanceId, std::size_t> indices_;
    LocalStatus status_;
    std::size_t silentMember_ = SIZE_MAX;
    std::size_t sentBytes_ = 0;
    double processor_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Measures membership in groups of several sizes on a virtual clock");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed", false, 1, "number", line);
        TCLAP::ValueArg<double> lossRate("", "lost", "Fraction of heartbeats lost", false, 0.01,
                                         "fraction", line);
        line.parse(argc, argv);
        std::printf("| members | bytes/s sent | bytes/s sent and received | processor µs/s | "
                    "oldest news, s | falsely lost | digest known to all, s | loss known to all, s "
                    "|\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (const int size : { 8, 32, 128, 350 }) {
            Group group(size, lossRate.getValue(), seed.getValue());
            group.run(Seconds);
            const double bytes = group.sentBytesPerSecond();
            const double processor = group.processorMicroseconds();
            const double oldest = absl::ToDoubleSeconds(group.oldestUpdateAge());
            const std::size_t falseLossCount = group.falseLossCount();
            const int digest = group.secondsUntilDigestReceivedByAll();
            const int loss = group.secondsUntilLossDetectedByAll();
            std::printf("| %d | %.0f | %.0f | %.0f | %.0f | %zu | %d | %d |\n", size, bytes,
                        2 * bytes, processor, oldest, falseLossCount, digest, loss);
        }
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "%s\n", error.error().c_str());
        return 2;
    }
    return 0;
}
