#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/records.hpp"

// Messages between instances. Heartbeats go by UDP; the others by UDP or TCP. Any of them may be
// lost, doubled or reordered.

namespace zinniadoor::control {

constexpr std::size_t MaxHeartbeatBytes = 1200;
constexpr std::size_t MaxPeerMessageBytes = 64UL * 1024;

/// Second-hand news of a member, passed on in groups too large for all-to-all heartbeats.
struct MemberUpdate
{
    std::uint32_t member = 0; ///< Short name of "<instance>#<incarnation>".
    std::uint32_t sequence = 0; ///< Of the newest heartbeat heard of.
    bool draining = false; ///< Takes no new work.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(member, sequence, draining);
    }
};

struct EndpointInFlight
{
    std::uint32_t endpoint = 0; ///< Short name of the endpoint id.
    std::uint16_t inFlight = 0; ///< Requests of the sender that run there.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, inFlight);
    }
};

struct OrganisationLoad
{
    std::uint32_t organisation = 0; ///< Short name of the organisation id.
    float demandPerSecond = 0;
    float spareTokens = 0; ///< What the sender could give away on the spot.
    std::uint32_t spareUnits = 0; ///< Share units that the sender could lend.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, demandPerSecond, spareTokens, spareUnits);
    }
};

/// Lists rotate: each heartbeat carries the part that fits its size.
struct Heartbeat
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::uint32_t sequence = 0;
    base::DataCentreId dataCentre;
    std::uint64_t bundleVersion = 0;
    base::Offset logOffset = 0; ///< Last one applied.
    bool draining = false; ///< Takes no new work.
    float prefillDemand = 0; ///< Tokens a second that callers of the sender ask for.
    float decodeDemand = 0;
    std::vector<MemberUpdate> members;
    std::vector<EndpointInFlight> inFlight;
    std::vector<std::uint64_t> crashDigests;
    std::vector<OrganisationLoad> organisations;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, sequence, dataCentre, bundleVersion, logOffset, draining,
                prefillDemand, decodeDemand, members, inFlight, crashDigests, organisations);
    }
};

/// Asks a named attestor to keep the sender's share leases valid.
struct AttestationRequest
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, sequence);
    }
};

struct AttestationResponse
{
    base::InstanceId attestor;
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0; ///< Of the ask.
    bool attested = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(attestor, instance, incarnation, sequence, attested);
    }
};

enum class LoanKind : std::uint8_t {
    Tokens, ///< Tokens once, used at once; the lender's room for them is blocked meanwhile.
    Share, ///< A part of rate and burst for the loan time.
};

struct LoanRequestItem
{
    std::uint64_t requestId = 0; ///< Unique for the borrower's incarnation.
    std::uint64_t loan = 0; ///< Equal to `requestId` for a new loan.
    base::OrganisationId organisation;
    LoanKind kind = LoanKind::Tokens;
    std::uint32_t units = 0; ///< Share loans: whole size wanted, also on renewal.
    double neededTokens = 0; ///< Token loans: for requests that wait.
    double wantedTokens = 0; ///< Token loans: at most this.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, loan, organisation, kind, units, neededTokens, wantedTokens);
    }
};

struct LoanRequest
{
    base::InstanceId borrower;
    base::Incarnation incarnation = 0;
    std::vector<LoanRequestItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(borrower, incarnation, items);
    }
};

struct LoanResponseItem
{
    std::uint64_t requestId = 0;
    std::uint64_t loan = 0;
    std::uint32_t units = 0; ///< 0 when a share loan is refused.
    double tokens = 0; ///< 0 when a token loan is refused.
    std::uint32_t milliseconds = 0; ///< From the instant the borrower asked, less its margin.
    float spareTokens = 0; ///< What is left to give.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, loan, units, tokens, milliseconds, spareTokens);
    }
};

struct LoanResponse
{
    base::InstanceId lender;
    base::InstanceId borrower;
    base::Incarnation incarnation = 0; ///< The borrower's.
    std::vector<LoanResponseItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(lender, borrower, incarnation, items);
    }
};

struct LoanReturnItem
{
    std::uint64_t loan = 0;
    base::OrganisationId organisation;
    double tokens = 0; ///< Tokens that the borrower has given up.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(loan, organisation, tokens);
    }
};

/// Ends loans early. The borrower has stopped using them before it sends this.
struct LoanReturn
{
    base::InstanceId borrower;
    base::Incarnation incarnation = 0;
    std::vector<LoanReturnItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(borrower, incarnation, items);
    }
};

/// Usage that the receiver appends to the log if the sender cannot.
struct UsageCopy
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::vector<UsageItem> items;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, items);
    }
};

struct UsageCopyAck
{
    base::InstanceId instance; ///< Whose usage was taken over.
    base::Incarnation incarnation = 0;
    std::vector<std::uint64_t> sequences;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, sequences);
    }
};

/// A starting instance asks a peer for its state while the log is out, part by part.
struct StateRequest
{
    base::InstanceId instance;
    base::Offset through = 0; ///< 0: the peer's newest; else the state whose parts are fetched.
    std::uint32_t part = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, through, part);
    }
};

struct StateResponse
{
    base::Offset through = 0; ///< Log offset up to which the state goes; 0: none to give.
    std::uint32_t part = 0;
    std::uint32_t parts = 0;
    std::string bytes; ///< At most MaxStatePartBytes.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(through, part, parts, bytes);
    }
};

constexpr std::size_t MaxStatePartBytes = 48UL * 1024;

/// A request body was in flight on an endpoint that crashed.
struct CrashReport
{
    std::string bodyDigest;
    base::EndpointId endpoint;
    std::uint32_t ageMilliseconds = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(bodyDigest, endpoint, ageMilliseconds);
    }
};

/// Told to all peers at once, so that a caller who tries elsewhere is recognised there.
struct CrashNotice
{
    base::InstanceId instance;
    std::vector<CrashReport> crashes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, crashes);
    }
};

using PeerMessage
    = std::variant<Heartbeat, AttestationRequest, AttestationResponse, LoanRequest, LoanResponse,
                   LoanReturn, UsageCopy, UsageCopyAck, StateRequest, StateResponse, CrashNotice>;

/// A message and the instance it goes to.
struct OutgoingMessage
{
    base::InstanceId to;
    PeerMessage message;
};

std::string encodePeerMessage(const PeerMessage &message);

/// Bytes from the network may be anything; what is not a message, is longer than
/// MaxPeerMessageBytes, or holds numbers outside their range gives a reason.
base::Outcome<PeerMessage> decodePeerMessage(const std::string &bytes);

/// Who sent a message, as it says itself; empty for answers that don't say it.
base::InstanceId senderOf(const PeerMessage &message);

} // namespace zinniadoor::control
