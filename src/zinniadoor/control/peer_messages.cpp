#include "zinniadoor/control/peer_messages.hpp"

#include <algorithm>
#include <cmath>

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::control {

namespace {

// Amounts that enter the arithmetic of the share accounts must be finite and non-negative: a NaN
// would make every later comparison false.
bool isAmount(double value)
{
    constexpr double MaxAmount = 1e12;
    return std::isfinite(value) && value >= 0 && value <= MaxAmount;
}

struct RangeCheck
{
    bool operator()(const Heartbeat &message) const
    {
        const auto &loads = message.organisations;
        return std::all_of(loads.begin(), loads.end(), [](const OrganisationLoad &load) {
            return isAmount(load.demandPerSecond) && isAmount(load.spareTokens);
        });
    }

    bool operator()(const LoanRequest &message) const
    {
        return std::all_of(message.items.begin(), message.items.end(),
                           [](const LoanRequestItem &item) {
                               return item.kind <= LoanKind::Share && isAmount(item.neededTokens)
                                   && isAmount(item.wantedTokens);
                           });
    }

    bool operator()(const LoanResponse &message) const
    {
        return std::all_of(message.items.begin(), message.items.end(),
                           [](const LoanResponseItem &item) {
                               return isAmount(item.tokens) && isAmount(item.spareTokens);
                           });
    }

    bool operator()(const LoanReturn &message) const
    {
        return std::all_of(message.items.begin(), message.items.end(),
                           [](const LoanReturnItem &item) { return isAmount(item.tokens); });
    }

    bool operator()(const StateResponse &message) const
    {
        return message.bytes.size() <= MaxStatePartBytes && message.part <= message.parts;
    }

    template <typename Message>
    bool operator()(const Message &) const
    {
        return true;
    }
};

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return base::encode(message);
}

base::Outcome<PeerMessage> decodePeerMessage(const std::string &bytes)
{
    if (bytes.size() > MaxPeerMessageBytes)
        return base::Reason { base::ReasonCode::InvalidArgument,
                              "peer message exceeds the size limit" };
    base::Outcome<PeerMessage> message = base::decode<PeerMessage>(bytes);
    if (message && !std::visit(RangeCheck {}, *message))
        return base::Reason { base::ReasonCode::InvalidArgument,
                              "peer message holds a number out of range" };
    return message;
}

base::InstanceId senderOf(const PeerMessage &message)
{
    struct Visitor
    {
        base::InstanceId operator()(const Heartbeat &m) const { return m.instance; }
        base::InstanceId operator()(const AttestationRequest &m) const { return m.instance; }
        base::InstanceId operator()(const AttestationResponse &m) const { return m.attestor; }
        base::InstanceId operator()(const LoanRequest &m) const { return m.borrower; }
        base::InstanceId operator()(const LoanResponse &m) const { return m.lender; }
        base::InstanceId operator()(const LoanReturn &m) const { return m.borrower; }
        base::InstanceId operator()(const UsageCopy &m) const { return m.instance; }
        base::InstanceId operator()(const UsageCopyAck &) const { return {}; }
        base::InstanceId operator()(const StateRequest &m) const { return m.instance; }
        base::InstanceId operator()(const StateResponse &) const { return {}; }
        base::InstanceId operator()(const CrashNotice &m) const { return m.instance; }
        base::InstanceId operator()(const BodyNotice &m) const { return m.instance; }
    };
    return std::visit(Visitor {}, message);
}

} // namespace zinniadoor::control
