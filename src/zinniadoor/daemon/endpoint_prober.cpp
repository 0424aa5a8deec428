#include "zinniadoor/daemon/endpoint_prober.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration ProbeTimeout = absl::Milliseconds(700);

/// Probes of an endpoint that takes connections and drops them unanswered: its process may be
/// about to end, with its listening socket closed last.
constexpr int MostProbes = 4;

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

void EndpointProber::onCallNews(CallToken call, const CallNews &news)
{
    const auto found = probes_.find(call);
    if (found == probes_.end())
        return;
    if (news.head)
        found->second.answered = true;
    if (!news.end)
        return;
    Probe probe = found->second;
    probes_.erase(found);
    if (probe.answered) {
        done_(probe.endpoint.id, ProbeResult::Alive);
        return;
    }
    const bool unavailable = news.end->reason.code == base::ReasonCode::Unavailable;
    const bool dropped = unavailable && news.end->mayHaveRun;
    if (dropped && probe.number < MostProbes) {
        ++probe.number;
        start(probe);
        return;
    }
    const bool refused = unavailable && !news.end->mayHaveRun;
    done_(probe.endpoint.id, refused ? ProbeResult::Refused : ProbeResult::Silent);
}

} // namespace zinniadoor::daemon
