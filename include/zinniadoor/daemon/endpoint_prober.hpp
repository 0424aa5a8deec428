#pragma once

#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/daemon/call_table.hpp"

namespace zinniadoor::daemon {

enum class ProbeResult {
    Alive,
    Refused, ///< Connection refused: the process has ended.
    Silent, ///< No response within the timeout.
};

/// Probes suspected endpoints over new connections, with at most one probe per endpoint at a time.
/// Used on the core thread.
class EndpointProber : private CallListener
{
public:
    using Done = std::function<void(const base::EndpointId &, ProbeResult)>;

    /// `done` is called with the result of each probe that was started.
    EndpointProber(CallTable &calls, Done done);
    ~EndpointProber() override;

    /// Does nothing while a probe of the endpoint is in progress.
    void probe(const control::Endpoint &endpoint);

private:
    struct Probe
    {
        control::Endpoint endpoint;
        int attempt = 1; ///< Number of this probe in a sequence of retries.
        bool answered = false;
    };
    void start(const Probe &probe);

    void onCallUpdate(CallToken call, const CallUpdate &update) override;

    CallTable &calls_;
    Done done_;
    absl::flat_hash_map<CallToken, Probe> probes_;
};

} // namespace zinniadoor::daemon
