#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/bundle.hpp"

// The records of the platform's log. Their order in the log is the only arbiter: every reader
// applies them with the same pure function (state.hpp), so all readers agree on what counts.

namespace zinniadoor::control {

/// A signed configuration version. Counts if its predecessor is the version in force and enough
/// operators of that version signed it (the first version names its own operators).
struct BundlePublished
{
    std::string yaml;
    std::vector<Signature> signatures;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(yaml, signatures);
    }
};

/// Withdraws one key, between bundles. Signed like a bundle; `text` is what is signed.
struct KeyWithdrawn
{
    std::string text; ///< "withdraw <key id> after <digest of the version in force>"
    base::KeyId key;
    std::vector<Signature> signatures;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(text, key, signatures);
    }
};

struct InstanceStarted
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;
    base::DataCentreId dataCentre;
    std::string peerAddress;
    std::vector<base::InstanceId> attestors; ///< Named peers, in other data centres if there are.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, dataCentre, peerAddress, attestors);
    }
};

/// The last record of a process; frees its leases, and later frames of it do not count.
struct InstanceStopped
{
    base::InstanceId instance;
    base::Incarnation incarnation = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation);
    }
};

/// Why a claimant holds that nobody else has the scope's authority.
enum class ClaimBasis : std::uint8_t {
    Free, ///< Never held, or released.
    Restarted, ///< The holder's instance started a newer incarnation at the same address.
    Expired, ///< The claimant itself watched the holder's last frame age past the lease.
    AttestationLimit, ///< Share scopes only: nobody could still be vouching for the holder.
};

/// A scope of authority held by one instance at a time. Names: "orders/<data centre>",
/// "usage/<shard>", "share/<slot>", "snapshot".
/// Every later frame of the holder's incarnation renews the lease. A claim counts if
/// `supersedes` is the offset of the release if the scope is free (0 if it was never claimed),
/// and else of the last claim that counted or of the holder's last frame, whichever is later; for
/// a share scope with basis Expired also not before the last withdrawal of a vouch. The scope's
/// epoch is the offset of the claim that counted.
struct LeaseClaimed
{
    std::string scope;
    base::InstanceId holder;
    base::Incarnation incarnation = 0;
    base::Offset supersedes = 0;
    ClaimBasis basis = ClaimBasis::Free;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(scope, holder, incarnation, supersedes, basis);
    }
};

/// Counts if `epoch` is the scope's current epoch.
struct LeaseReleased
{
    std::string scope;
    base::Offset epoch = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(scope, epoch);
    }
};

/// A attestor gives up keeping `instance` in office: it will not vouch for this incarnation again.
struct AttestationWithdrawn
{
    base::InstanceId attestor;
    base::InstanceId instance;
    base::Incarnation incarnation = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(attestor, instance, incarnation);
    }
};

/// Opens order slot `slot` of an endpoint; counts if it is the next slot, the one before is
/// closed, and `epoch` is the current epoch of the scope "orders/<data centre>".
struct OrderOpened
{
    base::EndpointId endpoint;
    std::uint64_t slot = 0;
    base::DataCentreId dataCentre;
    base::Offset epoch = 0;
    std::uint8_t kind = 0; ///< ports::EndpointOrderKind
    std::string argument;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, slot, dataCentre, epoch, kind, argument);
    }
};

enum class OrderResult : std::uint8_t {
    Done,
    Refused,
    NeverSent,
    EndpointReplaced,
    SenderGone,
    Fenced, ///< Given up under a newer epoch; the receiver refuses the older one.
};

/// Closes an open slot; the first one counts. The sender closes with Done, Refused or NeverSent,
/// the scope's current holder with one of the others where the log bears it out.
struct OrderClosed
{
    base::EndpointId endpoint;
    std::uint64_t slot = 0;
    OrderResult result = OrderResult::Done;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, slot, result);
    }
};

/// Claims the one run of a non-idempotent call. The first for (organisation, key) counts.
struct ActionClaimed
{
    base::OrganisationId organisation;
    std::string idempotencyKey;
    std::string bodyDigest;
    base::InstanceId owner;
    base::Incarnation incarnation = 0;
    std::uint64_t claim = 0; ///< Numbers the claims of one process.
    std::int64_t wallSeconds = 0; ///< For forgetting after the configured retention.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, idempotencyKey, bodyDigest, owner, incarnation, claim, wallSeconds);
    }
};

enum class ActionResult : std::uint8_t { Answered, NotRun, Unknown };

/// The outcome of a claimed action; the first one counts.
struct ActionFinished
{
    base::OrganisationId organisation;
    std::string idempotencyKey;
    ActionResult result = ActionResult::Unknown;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body; ///< At most MaxRecordedAnswerBytes.
    bool bodyRecorded = true; ///< False: the body was longer and is not recorded.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, idempotencyKey, result, status, contentType, body, bodyRecorded);
    }
};

constexpr std::size_t MaxRecordedAnswerBytes = 65'536;

/// What one answered request used.
struct UsageItem
{
    std::uint64_t sequence = 0; ///< Of the counting instance and incarnation, from 1.
    base::OrganisationId organisation;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, organisation, promptTokens, outputTokens);
    }
};

/// Usage counted by `instance`; each (instance, incarnation, sequence) counts once, whoever
/// appends it.
struct UsageCounted
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

/// Closes the open usage window: its figures are what precedes this record in the log since
/// the last closing. Counts if `window` is later than the last one closed and `epoch` is current
/// for the shard.
struct WindowClosed
{
    std::int64_t window = 0; ///< Seconds since 1970 at the window's start.
    std::uint32_t shard = 0;
    base::Offset epoch = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(window, shard, epoch);
    }
};

/// A closed window of a shard has been taken by billing.
struct WindowReported
{
    std::int64_t window = 0;
    std::uint32_t shard = 0;
    base::Offset epoch = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(window, shard, epoch);
    }
};

/// One part of a snapshot of the state after `through`. A snapshot counts once all parts are
/// in the log; parts of different writers never mix.
struct SnapshotPart
{
    base::Offset through = 0;
    std::uint32_t part = 0; ///< From 0.
    std::uint32_t parts = 0;
    std::string bytes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(through, part, parts, bytes);
    }
};

using Record
    = std::variant<BundlePublished, KeyWithdrawn, InstanceStarted, InstanceStopped, LeaseClaimed,
                   LeaseReleased, AttestationWithdrawn, OrderOpened, OrderClosed, ActionClaimed,
                   ActionFinished, UsageCounted, WindowClosed, WindowReported, SnapshotPart>;

/// One record of the platform's log: all that one writer had waiting (group commit).
/// (writer, incarnation, sequence) names the frame, so that a lost append answer is resolved by
/// reading the log; a frame that stands twice counts once.
struct Frame
{
    base::InstanceId writer; ///< An operator's tool writes as "tool/<random>".
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    base::Offset snapshotOffset = 0; ///< First part of the newest snapshot known; 0 for none.
    std::uint64_t bundleVersion = 0; ///< Version in force at the writer; 0 for none.
    std::vector<Record> records; ///< May be empty: a frame is also its writer's heartbeat.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(writer, incarnation, sequence, snapshotOffset, bundleVersion, records);
    }
};

std::string encodeFrame(const Frame &frame);

/// Bytes of the log may be anything; what is not a frame gives a reason.
base::Outcome<Frame> decodeFrame(const std::string &bytes);

} // namespace zinniadoor::control
