#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/daemon/call_table.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"

namespace zinniadoor::daemon {

/// Polls engines for their load and their cache events, in rotation. Used on the core thread.
class EndpointPoller : private CallListener
{
public:
    struct Options
    {
        absl::Duration interval = absl::Seconds(1); ///< Between polls of the same engine.
        double maxPerSecond = 25; ///< Limit; beyond it, `interval` is stretched.
    };

    EndpointPoller(Options options, const base::Clock &clock, CallTable &calls,
                   serving::EndpointTable &table);
    ~EndpointPoller() override;

    void setEndpoints(const std::vector<control::Endpoint> &endpoints);
    void tick(absl::Time now);

private:
    enum class PollKind { Load, CacheEvents };

    struct Target
    {
        control::Endpoint endpoint;
        std::uint64_t lastCacheEvent = 0;
    };
    struct Poll
    {
        base::EndpointId endpoint;
        PollKind kind = PollKind::Load;
        int status = 0;
        std::string body;
    };

    void start(Target &target, PollKind kind);
    void onCallUpdate(CallToken call, const CallUpdate &update) override;
    void handleLoad(const Poll &poll);
    void handleCacheEvents(const Poll &poll);

    Options options_;
    const base::Clock &clock_;
    CallTable &calls_;
    serving::EndpointTable &table_;
    absl::flat_hash_map<base::EndpointId, Target> targets_;
    std::vector<base::EndpointId> order_;
    std::size_t next_ = 0;
    absl::Time nextAt_ = absl::InfinitePast();
    absl::flat_hash_map<CallToken, Poll> polls_;
};

} // namespace zinniadoor::daemon
