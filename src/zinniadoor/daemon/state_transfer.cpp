#include "zinniadoor/daemon/state_transfer.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::daemon {

namespace {

/// How long the log may take to respond after the start before peers are asked for their state.
constexpr absl::Duration LogTimeout = absl::Seconds(2);
constexpr absl::Duration RequestTimeout = absl::Seconds(2);
constexpr absl::Duration RetryDelay = absl::Milliseconds(500);
constexpr std::size_t MaxStateBytes = 512UL * 1024 * 1024;

} // namespace

StateTransfer::StateTransfer(Parts parts)
    : parts_(parts)
    , startAfter_(parts_.clock.now() + LogTimeout)
{ }

control::StateResponse StateTransfer::onStateRequest(const control::StateRequest &request)
{
    control::StateResponse response;
    const bool sameState = request.through != 0 && request.through == servedThrough_;
    if (!sameState) {
        if (request.through != 0 || parts_.control.state().configuration().bundle() == nullptr)
            return response;
        servedState_ = control::encodeState(parts_.control.state());
        servedThrough_ = parts_.control.state().appliedThrough();
    }
    const std::size_t begin = std::size_t { request.part } * control::MaxStatePartBytes;
    if (begin >= servedState_.size())
        return response;
    response.through = servedThrough_;
    response.part = request.part;
    response.parts = static_cast<std::uint32_t>(
        (servedState_.size() + control::MaxStatePartBytes - 1) / control::MaxStatePartBytes);
    response.bytes = servedState_.substr(begin, control::MaxStatePartBytes);
    return response;
}

void StateTransfer::tick(absl::Time now)
{
    if (parts_.control.lastReadAt() != absl::InfinitePast())
        done_ = true;
    if (done_ || requestInFlight_ || now < startAfter_ || parts_.settings.configuredPeers.empty())
        return;
    requestNextPart();
}

void StateTransfer::requestNextPart()
{
    const std::vector<PeerSetting> &peers = parts_.settings.configuredPeers;
    const base::InstanceId &peer = peers[nextPeer_ % peers.size()].id;
    requestInFlight_ = true;
    const control::StateRequest request { parts_.control.self().instance, through_, nextPart_ };
    parts_.messenger.call(
        { peer, request }, RequestTimeout,
        [this](const base::Outcome<control::PeerMessage> &message) { onResponse(message); });
}

void StateTransfer::onResponse(const base::Outcome<control::PeerMessage> &message)
{
    requestInFlight_ = false;
    const auto *response = message ? std::get_if<control::StateResponse>(&*message) : nullptr;
    const bool isExpected = response != nullptr && response->through != 0
        && response->part == nextPart_ && (through_ == 0 || response->through == through_)
        && receivedBytes_.size() + response->bytes.size() <= MaxStateBytes;
    if (!isExpected) {
        switchPeer();
        return;
    }
    through_ = response->through;
    receivedBytes_ += response->bytes;
    ++nextPart_;
    if (nextPart_ < response->parts) {
        requestNextPart();
        return;
    }
    base::Outcome<control::State> state = control::decodeState(receivedBytes_);
    if (!state || !parts_.control.adoptState(std::move(*state))) {
        switchPeer();
        return;
    }
    done_ = true;
    base::logEvent(base::EventId::PeerStateAdopted, { { "through", absl::StrCat(through_) } });
}

void StateTransfer::switchPeer()
{
    ++nextPeer_;
    through_ = 0;
    nextPart_ = 0;
    receivedBytes_.clear();
    startAfter_ = parts_.clock.now() + RetryDelay;
}

} // namespace zinniadoor::daemon
