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

// Messages between instances. Heartbeats use UDP, the others UDP or TCP. Any message may be lost,
// duplicated or reordered.

namespace zinniadoor::control {

constexpr std::size_t MaxHeartbeatBytes = 1200;
constexpr std::size_t MaxPeerMessageBytes = 64UL * 1024;

/// Gossip about a member, used in groups too large for all-to-all heartbeats.
struct MemberUpdate
{
    std::uint32_t member = 0; ///< Short hash of "<instance>#<incarnation>".
    std::uint32_t sequence = 0; ///< Sequence number of the member's newest heartbeat.
    bool draining = false; ///< Accepts no new requests.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(member, sequence, draining);
    }
};

struct EndpointInFlight
{
    std::uint32_t endpoint = 0; ///< Short hash of the endpoint id.
    std::uint16_t inFlight = 0; ///< The sender's requests at the endpoint.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, inFlight);
    }
};

struct OrganisationLoad
{
    std::uint32_t organisation = 0; ///< Short hash of the organisation id.
    float demandPerSecond = 0;
    float spareTokens = 0; ///< Tokens that the sender could lend immediately.
    std::uint32_t spareUnits = 0; ///< Share units that the sender could lend.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, demandPerSecond, spareTokens, spareUnits);
    }
};

/// Periodic status of an instance. Its lists rotate: each heartbeat carries as much as fits.
struct Heartbeat
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    std::uint32_t sequence = 0;
    base::DataCentreId dataCentre;
    std::uint64_t bundleVersion = 0;
    base::Offset logOffset = 0; ///< Last offset applied.
    bool draining = false; ///< Accepts no new requests.
    float prefillDemand = 0; ///< Tokens per second requested by the sender's callers.
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

/// Requests a liveness attestation, which extends the sender's share leases, from an attestor.
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
    std::uint64_t sequence = 0; ///< Of the request.
    bool attested = false;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(attestor, instance, incarnation, sequence, attested);
    }
};

enum class LoanKind : std::uint8_t {
    Tokens, ///< A number of tokens for immediate use; the lender reserves capacity meanwhile.
    Share, ///< A part of rate and burst for the duration of the loan.
};

struct LoanRequestItem
{
    std::uint64_t requestId = 0; ///< Unique for the borrower's incarnation.
    std::uint64_t loan = 0; ///< Equal to `requestId` for a new loan.
    base::OrganisationId organisation;
    LoanKind kind = LoanKind::Tokens;
    std::uint32_t units = 0; ///< Share loans: total size requested, also on renewal.
    double neededTokens = 0; ///< Token loans: amount needed by queued requests.
    double wantedTokens = 0; ///< Token loans: maximum amount.

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
    std::uint32_t units = 0; ///< 0 if a share loan is rejected.
    double tokens = 0; ///< 0 if a token loan is rejected.
    /// Duration from the time of the request, less the borrower's margin.
    std::uint32_t milliseconds = 0;
    float spareTokens = 0; ///< Tokens that the lender could still lend.

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
    double tokens = 0; ///< Unused tokens returned.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(loan, organisation, tokens);
    }
};

/// Ends loans early. The borrower stops using them before it sends this message.
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

/// Copy of usage items, which the receiver appends to the log if the sender fails to.
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
    base::InstanceId instance; ///< The instance that counted the usage.
    base::Incarnation incarnation = 0;
    std::vector<std::uint64_t> sequences;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, sequences);
    }
};

/// Requests one part of a peer's state; sent by an instance that starts while the log is
/// unavailable.
struct StateRequest
{
    base::InstanceId instance;
    base::Offset through = 0; ///< Offset of the state being fetched; 0 for the newest.
    std::uint32_t part = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, through, part);
    }
};

struct StateResponse
{
    base::Offset through = 0; ///< Last log offset applied to the state; 0 if none available.
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

/// A request that was in flight on an endpoint that crashed, identified by its body digest.
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

/// Sent to all peers at once, so that a caller's retry at another instance is recognised there.
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

/// An event that concerns one request body, identified by the digest of its digest.
struct BodyEvent
{
    std::uint64_t body = 0;
    std::uint32_t ageMilliseconds = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(body, ageMilliseconds);
    }
};

/// Sent to all peers: bodies that were answered, so that the crashes of endpoints on which they
/// were in flight have other causes, and refused ones that were sent again as a trial.
struct BodyNotice
{
    base::InstanceId instance;
    std::vector<BodyEvent> answered;
    std::vector<BodyEvent> tried;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, answered, tried);
    }
};

using PeerMessage = std::variant<Heartbeat, AttestationRequest, AttestationResponse, LoanRequest,
                                 LoanResponse, LoanReturn, UsageCopy, UsageCopyAck, StateRequest,
                                 StateResponse, CrashNotice, BodyNotice>;

/// A message and its destination.
struct OutgoingMessage
{
    base::InstanceId to;
    PeerMessage message;
};

std::string encodePeerMessage(const PeerMessage &message);

/// Decodes untrusted bytes. Fails for malformed messages, for messages longer than
/// MaxPeerMessageBytes and for numbers out of range.
base::Outcome<PeerMessage> decodePeerMessage(const std::string &bytes);

/// The sender as stated in the message; empty for responses that do not state it.
base::InstanceId senderOf(const PeerMessage &message);

} // namespace zinniadoor::control
