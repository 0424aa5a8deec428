#include "zinniadoor/daemon/peer_messenger.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t MaxDatagramBytes = 1200;
constexpr absl::Duration OneWayTimeout = absl::Seconds(2);
constexpr int MaxFullRingRetries = 2000;

} // namespace

PeerMessenger::PeerMessenger(ports::PeerLink &link, CoreRing &core, Metrics &metrics)
    : link_(link)
    , core_(core)
    , metrics_(metrics)
{ }

void PeerMessenger::setAddress(const base::InstanceId &instance, const std::string &address)
{
    addresses_[instance] = address;
}

void PeerMessenger::send(const control::OutgoingMessage &outgoing)
{
    const auto address = addresses_.find(outgoing.to);
    if (address == addresses_.end())
        return;
    std::string bytes = control::encodePeerMessage(outgoing.message);
    metrics_.countPeerBytes(bytes.size());
    if (bytes.size() <= MaxDatagramBytes) {
        link_.sendDatagram(address->second, bytes);
        return;
    }
    startCall(address->second, std::move(bytes), OneWayTimeout, {});
}

void PeerMessenger::call(const control::OutgoingMessage &outgoing, absl::Duration timeout,
                         ReplyCallback done)
{
    const auto address = addresses_.find(outgoing.to);
    if (address == addresses_.end()) {
        done(base::Reason { base::ReasonCode::NotFound, "no address of this peer" });
        return;
    }
    std::string bytes = control::encodePeerMessage(outgoing.message);
    metrics_.countPeerBytes(bytes.size());
    startCall(address->second, std::move(bytes), timeout, std::move(done));
}

void PeerMessenger::startCall(const std::string &address, std::string bytes, absl::Duration timeout,
                              ReplyCallback done)
{
    const std::uint64_t call = ++lastCall_;
    if (done)
        calls_[call] = std::move(done);
    CoreRing &core = core_;
    link_.call(address, std::move(bytes), timeout,
               [&core, call](base::Outcome<std::string> outcome) {
                   // Blocks the link's thread for a limited time. For the caller, a reply dropped
                   // after that is like a lost one, and its own timeout applies.
                   int tries = 0;
                   pushBlocking(core, PeerCallCompleted { call, std::move(outcome) },
                                [&tries] { return ++tries > MaxFullRingRetries; });
               });
}

void PeerMessenger::onCallCompleted(const PeerCallCompleted &completed)
{
    const auto found = calls_.find(completed.call);
    if (found == calls_.end())
        return;
    const ReplyCallback done = std::move(found->second);
    calls_.erase(found);
    if (!completed.bytes)
        done(completed.bytes.lastReason());
    else
        done(control::decodePeerMessage(*completed.bytes));
}

} // namespace zinniadoor::daemon
