#include "zinniadoor/daemon/state_transfer.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::daemon {

namespace {

/// The log gets this long to answer before peers are asked.
constexpr absl::Duration LogPatience = absl::Seconds(2);
constexpr absl::Duration AskTimeout = absl::Seconds(2);
constexpr absl::Duration AskAgainAfter = absl::Milliseconds(500);
constexpr std::size_t MostStateBytes = 512UL * 1024 * 1024;

} // namespace

StateTransfer::StateTransfer(Parts parts)
    : parts_(parts)
    , startAfter_(parts_.clock.now() + LogPatience)
{ }

control::StateResponse StateTransfer::onAsk(const control::StateRequest &ask)
{
    control::StateResponse answer;
    const bool sameState = ask.through != 0 && ask.through == givenThrough_;
    if (!sameState) {
        if (ask.through != 0 || parts_.control.state().configuration().bundle() == nullptr)
            return answer;
        given_ = control::encodeState(parts_.control.state());
        givenThrough_ = parts_.control.state().appliedThrough();
    }
    const std::size_t begin = std::size_t { ask.part } * control::MaxStatePartBytes;
    if (begin >= given_.size())
        return answer;
    answer.through = givenThrough_;
    answer.part = ask.part;
    answer.parts = static_cast<std::uint32_t>((given_.size() + control::MaxStatePartBytes - 1)
                                              / control::MaxStatePartBytes);
    answer.bytes = given_.substr(begin, control::MaxStatePartBytes);
    return answer;
}

void StateTransfer::tick(absl::Time now)
{
    if (parts_.control.lastContact() != absl::InfinitePast())
        done_ = true;
    if (done_ || asking_ || now < startAfter_ || parts_.settings.configuredPeers.empty())
        return;
    askNext();
}

void StateTransfer::askNext()
{
    const std::vector<PeerSetting> &peers = parts_.settings.configuredPeers;
    const base::InstanceId &peer = peers[nextPeer_ % peers.size()].id;
    asking_ = true;
    const control::StateRequest ask { parts_.control.self().instance, through_, nextPart_ };
    parts_.messenger.call(
        { peer, ask }, AskTimeout,
        [this](const base::Outcome<control::PeerMessage> &message) { onAnswer(message); });
}

void StateTransfer::onAnswer(const base::Outcome<control::PeerMessage> &message)
{
    asking_ = false;
    const auto *answer = message ? std::get_if<control::StateResponse>(&*message) : nullptr;
    const bool fits = answer != nullptr && answer->through != 0 && answer->part == nextPart_
        && (through_ == 0 || answer->through == through_)
        && taken_.size() + answer->bytes.size() <= MostStateBytes;
    if (!fits) {
        giveUpPeer();
        return;
    }
    through_ = answer->through;
    taken_ += answer->bytes;
    ++nextPart_;
    if (nextPart_ < answer->parts) {
        askNext();
        return;
    }
    base::Outcome<control::State> state = control::decodeState(taken_);
    if (!state || !parts_.control.adopt(std::move(*state))) {
        giveUpPeer();
        return;
    }
    done_ = true;
    base::logEvent(base::EventId::PeerStateAdopted, { { "through", absl::StrCat(through_) } });
}

void StateTransfer::giveUpPeer()
{
    ++nextPeer_;
    through_ = 0;
    nextPart_ = 0;
    taken_.clear();
    startAfter_ = parts_.clock.now() + AskAgainAfter;
}

} // namespace zinniadoor::daemon
