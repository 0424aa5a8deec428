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
// instance, how old news of members is, and how long a loss and a crash digest take to be known.
// Prints a Markdown table.

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;

constexpr int Seconds = 60;
constexpr std::size_t HeaderBytes = 28; ///< UDP and IP.
constexpr int EndpointsPerInstance = 20; ///< In use at one time.

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
    Group(int size, double lost, std::uint64_t seed)
        : random_(seed)
        , lost_(lost)
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

    void second()
    {
        now_ += absl::Seconds(1);
        std::vector<std::pair<std::size_t, std::string>> arriving;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            if (i == silent_)
                continue;
            const double before = processorSeconds();
            const std::vector<OutgoingMessage> messages = members_[i].tick(status_, now_);
            for (const OutgoingMessage &one : messages) {
                const std::string bytes = encodePeerMessage(one.message);
                sentBytes_ += bytes.size() + HeaderBytes;
                const std::size_t to = indices_.at(one.to);
                const bool arrives = to != silent_
                    && std::uniform_real_distribution<double>(0, 1)(random_) >= lost_;
                if (arrives)
                    arriving.emplace_back(to, bytes);
            }
            processor_ += processorSeconds() - before;
        }
        const double before = processorSeconds();
        for (const auto &[to, bytes] : arriving)
            members_[to].onHeartbeat(std::get<Heartbeat>(*decodePeerMessage(bytes)), now_);
        processor_ += processorSeconds() - before;
    }

    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i)
            second();
    }

    /// Members that hold each other for lost though all run.
    std::size_t falselyLost() const
    {
        std::size_t count = 0;
        for (const Membership &one : members_)
            count += one.lostMembers(now_).size();
        return count;
    }

    absl::Duration oldestNews() const
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

    int secondsUntilLossKnownToAll()
    {
        silent_ = 1;
        for (int i = 1; i <= 600; ++i) {
            second();
            std::size_t known = 0;
            for (const Membership &one : members_)
                known += one.lostMembers(now_).count(idOf(1));
            if (known + 1 == members_.size())
                return i;
        }
        return -1;
    }

    int secondsUntilDigestKnownToAll()
    {
        constexpr std::uint64_t Digest = 42;
        members_[0].reportCrash(Digest, now_);
        for (int i = 1; i <= 600; ++i) {
            second();
            std::size_t known = 0;
            for (const Membership &one : members_)
                known += one.crashDigests(now_).count(Digest);
            if (known == members_.size())
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
    double lost_;
    absl::Time now_ = absl::FromUnixSeconds(1000);
    std::vector<Membership> members_;
    std::map<base::InstanceId, std::size_t> indices_;
    LocalStatus status_;
    std::size_t silent_ = SIZE_MAX;
    std::size_t sentBytes_ = 0;
    double processor_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Membership at several sizes, on a virtual clock");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed", false, 1, "number", line);
        TCLAP::ValueArg<double> lost("", "lost", "Fraction of heartbeats lost", false, 0.01,
                                     "fraction", line);
        line.parse(argc, argv);
        std::printf("| members | bytes/s sent | bytes/s sent and received | processor µs/s | "
                    "oldest news, s | falsely lost | digest known to all, s | loss known to all, s "
                    "|\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (const int size : { 8, 32, 128, 350 }) {
            Group group(size, lost.getValue(), seed.getValue());
            group.run(Seconds);
            const double bytes = group.sentBytesPerSecond();
            const double processor = group.processorMicroseconds();
            const double oldest = absl::ToDoubleSeconds(group.oldestNews());
            const std::size_t falselyLost = group.falselyLost();
            const int digest = group.secondsUntilDigestKnownToAll();
            const int loss = group.secondsUntilLossKnownToAll();
            std::printf("| %d | %.0f | %.0f | %.0f | %.0f | %zu | %d | %d |\n", size, bytes,
                        2 * bytes, processor, oldest, falselyLost, digest, loss);
        }
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "%s\n", error.error().c_str());
        return 2;
    }
    return 0;
}
