#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include "zinniadoor/serving/crash_evidence.hpp"

namespace zinniadoor::serving::test {

inline constexpr absl::Duration Step = absl::Milliseconds(10);

struct FleetOptions
{
    std::size_t instances = 8;
    std::size_t endpoints = 200;
    double lossRate = 0.2;
    absl::Duration delay = absl::Milliseconds(250);
    int copies = 1; ///< Number of times that each report is sent.
    bool sendsEntries = true; ///< Each instance sends its entries each second.
    std::function<std::vector<SuspectKey>(const std::vector<PromptSegment> &)> keysOf
        = sharedPartKeys;
    CrashEvidenceOptions evidence;
};

/// Simulates instances that exchange reports by datagrams and serve requests on common endpoints,
/// under a virtual clock. An endpoint ends when it begins to answer a request with a crashing part,
/// with all requests in flight on it. Each instance sends a lost request to another endpoint once.
class Fleet
{
public:
    Fleet(std::uint32_t seed, const FleetOptions &options)
        : options_(options)
        , random_(seed)
        , lists_(options.instances, CrashEvidence(options.evidence))
        , usableAt_(options.endpoints, absl::InfinitePast())
    {
        for (std::size_t instance = 0; instance < options.instances; ++instance)
            setInstances(instance);
    }

    absl::Time now() const { return now_; }
    std::uint32_t draw(std::uint32_t below) { return random_() % below; }
    bool chance(double share) { return std::uniform_real_distribution<>()(random_) < share; }
    CrashEvidence &list(std::size_t instance) { return lists_[instance]; }

    /// Returns false if the request is refused.
    bool request(std::size_t instance, const std::vector<PromptSegment> &parts, bool crashes)
    {
        return send({ instance, options_.keysOf(parts), ++requests_, crashes, 0, 0, now_ });
    }

    /// All requests in flight on an endpoint are lost.
    void endEndpoint(std::size_t endpoint)
    {
        if (now_ < usableAt_[endpoint])
            return;
        usableAt_[endpoint] = now_ + absl::Seconds(30);
        const auto isLost = [&](const Request &request) { return request.endpoint == endpoint; };
        const auto lost = std::stable_partition(inFlight_.begin(), inFlight_.end(),
                                                [&](const Request &r) { return !isLost(r); });
        std::vector<Request> retried(lost, inFlight_.end());
        inFlight_.erase(lost, inFlight_.end());
        for (const Request &request : retried) {
            const base::EndpointId id(absl::StrCat("e", endpoint));
            announce(request.instance,
                     lists_[request.instance].noteCrash(request.keys, request.id, id, now_));
        }
        for (Request &request : retried) {
            if (++request.tries < 2 && !send(request) && !request.crashes)
                ++soundRefused_;
        }
    }

    /// A request is answered at once, or its endpoint ends.
    void serve(std::size_t instance, const std::vector<SuspectKey> &keys, std::uint64_t id,
               bool lost)
    {
        const base::EndpointId endpoint(absl::StrCat("e", id));
        announce(instance,
                 lost ? lists_[instance].noteCrash(keys, id, endpoint, now_)
                      : lists_[instance].noteSuccess(keys, now_));
    }

    void restart(std::size_t instance)
    {
        lists_[instance] = CrashEvidence(options_.evidence);
        setInstances(instance);
        const auto isGone = [&](const Request &request) { return request.instance == instance; };
        inFlight_.erase(std::remove_if(inFlight_.begin(), inFlight_.end(), isGone),
                        inFlight_.end());
    }

    void step()
    {
        now_ += Step;
        for (std::size_t i = 0; i < messages_.size(); ++i) {
            if (messages_[i].at > now_)
                continue;
            const Message message = messages_[i];
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i--));
            announce(message.to, lists_[message.to].merge(message.reports, now_).reply);
        }
        for (std::size_t i = 0; i < inFlight_.size(); ++i) {
            if (inFlight_[i].due > now_)
                continue;
            const Request request = inFlight_[i];
            if (request.crashes) {
                crashedAt_.push_back(now_);
                endEndpoint(request.endpoint);
                i = 0;
                continue;
            }
            inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(i--));
            announce(request.instance, lists_[request.instance].noteSuccess(request.keys, now_));
        }
        if (options_.sendsEntries && (now_ - absl::UnixEpoch()) % absl::Seconds(1) < Step) {
            for (std::size_t i = 0; i < lists_.size(); ++i)
                announce(i, lists_[i].entries(now_, 8));
        }
    }

    void run(
        absl::Duration time, const std::function<void()> &atStep = [] {})
    {
        for (const absl::Time end = now_ + time; now_ < end;) {
            step();
            atStep();
        }
    }

    bool isRefusedOnAll(const std::vector<PromptSegment> &parts) const
    {
        return std::all_of(lists_.begin(), lists_.end(), [&](const CrashEvidence &list) {
            return list.refusedKey(options_.keysOf(parts), now_).has_value();
        });
    }

    std::size_t crashes() const { return crashedAt_.size(); }
    std::size_t soundRefused() const { return soundRefused_; }

    /// Crashing requests that were sent to endpoints later than 3 s after a crash, the fifth one if
    /// not said otherwise.
    std::size_t lateCrashing(std::size_t crash = 5) const
    {
        if (crashedAt_.size() < crash)
            return 0;
        const absl::Time limit = crashedAt_[crash - 1] + absl::Seconds(3);
        return static_cast<std::size_t>(
            std::count_if(crashingSentAt_.begin(), crashingSentAt_.end(),
                          [&](absl::Time sent) { return sent > limit; }));
    }

private:
    void setInstances(std::size_t instance)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < lists_.size(); ++i)
            names.push_back(absl::StrCat("i", i));
        lists_[instance].setInstances(names[instance], names);
    }

    struct Request
    {
        std::size_t instance = 0;
        std::vector<SuspectKey> keys;
        std::uint64_t id = 0;
        bool crashes = false;
        std::size_t endpoint = 0;
        int tries = 0;
        absl::Time due;
    };
    struct Message
    {
        std::size_t to = 0;
        CrashReports reports;
        absl::Time at;
    };

    bool send(Request request)
    {
        CrashEvidence &list = lists_[request.instance];
        if (const auto refused = list.refusedKey(request.keys, now_)) {
            if (request.tries > 0 || !list.mayTry(*refused, now_))
                return false;
            announce(request.instance, list.noteTrial(*refused, now_));
        }
        do {
            request.endpoint = draw(static_cast<std::uint32_t>(usableAt_.size()));
        } while (now_ < usableAt_[request.endpoint]);
        if (request.crashes)
            crashingSentAt_.push_back(now_);
        request.due
            = now_ + absl::Milliseconds(request.crashes ? 50 + draw(200) : 300 + draw(2000));
        inFlight_.push_back(request);
        return true;
    }

    void announce(std::size_t from, const CrashReports &reports)
    {
        if (reports.empty())
            return;
        for (std::size_t to = 0; to < lists_.size(); ++to) {
            for (int copy = 0; to != from && copy < options_.copies; ++copy) {
                const absl::Duration wait = options_.delay + copy * absl::Milliseconds(100);
                CrashReports sent = reports;
                for (SuspectCrash &crash : sent.crashes)
                    crash.age += copy * absl::Milliseconds(100);
                for (SuspectAnswer &success : sent.successes)
                    success.age += copy * absl::Milliseconds(100);
                for (SuspectTrial &trial : sent.trials)
                    trial.age += copy * absl::Milliseconds(100);
                if (!chance(options_.lossRate))
                    messages_.push_back({ to, std::move(sent), now_ + wait });
            }
        }
    }

    FleetOptions options_;
    std::mt19937 random_;
    std::vector<CrashEvidence> lists_;
    std::vector<absl::Time> usableAt_;
    absl::Time now_ = absl::UnixEpoch() + absl::Seconds(1000);
    std::uint64_t requests_ = 0;
    std::vector<Request> inFlight_;
    std::vector<Message> messages_;
    std::vector<absl::Time> crashedAt_;
    std::vector<absl::Time> crashingSentAt_;
    std::size_t soundRefused_ = 0;
};

} // namespace zinniadoor::serving::test
