#include "zinniadoor/daemon/endpoint_prober.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration ProbeTimeout = absl::Milliseconds(700);

/// Maximum number of probes if the endpoint accepts connections and closes them without a response.
/// The process may be terminating: its listening socket is closed last.
constexpr int MaxProbes = 4;

} // namespace

EndpointProber::EndpointProber(CallTable &calls, Done done)
    : calls_(calls)
    , done_(std::move(done))
{ }

EndpointProber::~EndpointProber()
{
    for (const auto &[call, probe] : probes_)
        calls_.cancel(call);
}

void EndpointProber::probe(const control::Endpoint &endpoint)
{
    for (const auto &[call, probe] : probes_) {
        if (probe.endpoint.id == endpoint.id)
            return;
    }
    start({ endpoint, 1, false });
}

void EndpointProber::start(const Probe &probe)
{
    ports::EndpointRequest request;
    request.method = "GET";
    request.url = absl::StrCat("http://", probe.endpoint.address, "/health");
    request.connectTimeout = ProbeTimeout;
    request.totalTimeout = ProbeTimeout;
    request.freshConnection = true;
    const base::Outcome<CallToken> call = calls_.start(std::move(request), *this);
    if (call)
        probes_[*call] = probe;
    else
        done_(probe.endpoint.id, ProbeResult::Silent);
}

void EndpointProber::onCallUpdate(CallToken call, const CallUpdate &update)
{
    const auto found = probes_.find(call);
    if (found == probes_.end())
        return;
    if (update.head)
        found->second.answered = true;
    if (!update.end)
        return;
    Probe probe = found->second;
    probes_.erase(found);
    if (probe.answered) {
        done_(probe.endpoint.id, ProbeResult::Alive);
        return;
    }
    const bool unavailable = update.end->reason.code == base::ReasonCode::Unavailable;
    const bool dropped = unavailable && update.end->mayHaveRun;
    if (dropped && probe.attempt < MaxProbes) {
        ++probe.attempt;
        start(probe);
        return;
    }
    const bool refused = unavailable && !update.end->mayHaveRun;
    done_(probe.endpoint.id, refused ? ProbeResult::Refused : ProbeResult::Silent);
}

} // namespace zinniadoor::daemon
