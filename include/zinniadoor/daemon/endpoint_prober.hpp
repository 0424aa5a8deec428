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
    Refused, ///< Nothing listens there: the process is gone.
    Silent, ///< No answer in time.
};

/// Looks at endpoints in doubt over a new connection, one probe an endpoint at a time.
/// For the core thread.
class EndpointProber : private CallListener
{
public:
    using Done = std::function<void(const base::EndpointId &, ProbeResult)>;

    /// `done` is called for each probe that was started.
    EndpointProber(CallTable &calls, Done done);
    ~EndpointProber() override;

    /// Does nothing while a probe of the endpoint is under way.
    void probe(const control::Endpoint &endpoint);

private:
    struct Probe
    {
        control::Endpoint endpoint;
        int number = 1; ///< Of the probes in a row.
        bool answered = false;
    };
    void start(const Probe &probe);

    void onCallNews(CallToken call, const CallNews &news) override;

    CallTable &calls_;
    Done done_;
    absl::flat_hash_map<CallToken, Probe> probes_;
};

} // namespace zinniadoor::daemon
