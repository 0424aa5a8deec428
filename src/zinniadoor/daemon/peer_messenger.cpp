#include "zinniadoor/daemon/peer_messenger.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t MaxDatagramBytes = 1200;
constexpr absl::Duration OneWayTimeout = absl::Seconds(2);
constexpr int FullRingTries = 2000;

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

void PeerMessenger::call(const control::OutgoingMessage &outgoing, absl::Duration timeout, Done done)
{
    const auto address = addresses_.find(outgoing.to);
    if (address == addresses_.end()) {
        done(base::Reason { base::ReasonCode::NotFound, "the peer's address is not known" });
        return;
    }
    std::string bytes = control::encodePeerMessage(outgoing.message);
    metrics_.countPeerBytes(bytes.size());
    startCall(address->second, std::move(bytes), timeout, std::move(done));
}

void PeerMessenger::startCall(const std::string &address, std::string bytes, absl::Duration timeout,
                              Done done)
{
    const std::uint64_t call = ++lastCall_;
    if (done)
        calls_[call] = std::move(done);
    CoreRing &core = core_;
    link_.call(address, std::move(bytes), timeout,
               [&core, call](base::Outcome<std::string> outcome) {
                   // The link's thread may wait a little; an answer dropped after that looks to
                   // the caller like one that never came, and its own timeout ends it.
                   int tries = 0;
                   pushWaiting(core, PeerAnswered { call, std::move(outcome) },
                               [&tries] { return ++tries > FullRingTries; });
               });
}

void PeerMessenger::onAnswered(const PeerAnswered &answered)
{
    const auto found = calls_.find(answered.call);
    if (found == calls_.end())
        return;
    const Done done = std::move(found->second);
    calls_.erase(found);
    if (!answered.bytes)
        done(answered.bytes.lastReason());
    else
        done(control::decodePeerMessage(*answered.bytes));
}

} // namespace zinniadoor::daemon
