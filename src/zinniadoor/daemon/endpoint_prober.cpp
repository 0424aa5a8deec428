#include "zinniadoor/daemon/endpoint_prober.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration ProbeTimeout = absl::Milliseconds(700);

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
        if (probe.endpoint == endpoint.id)
            return;
    }
    ports::EndpointRequest request;
    request.method = "GET";
    request.url = absl::StrCat("http://", endpoint.address, "/health");
    request.connectTimeout = ProbeTimeout;
    request.totalTimeout = ProbeTimeout;
    request.freshConnection = true;
    const base::Outcome<CallToken> call = calls_.start(std::move(request), *this);
    if (call)
        probes_[*call] = Probe { endpoint.id, false };
    else
        done_(endpoint.id, ProbeResult::Silent);
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
    const Probe probe = found->second;
    probes_.erase(found);
    if (probe.answered) {
        done_(probe.endpoint, ProbeResult::Alive);
        return;
    }
    const bool refused
        = !news.end->mayHaveRun && news.end->reason.code == base::ReasonCode::Unavailable;
    done_(probe.endpoint, refused ? ProbeResult::Refused : ProbeResult::Silent);
}

} // namespace zinniadoor::daemon
