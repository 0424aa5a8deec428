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

// The records of the platform's log. Their order in the log resolves all conflicts: every reader
// applies them with the same deterministic function (state.hpp), so all readers agree on which
// records are accepted.

namespace zinniadoor::control {

/// A signed version of the configuration. Accepted if its predecessor is the version in force and
/// enough operators of that version signed it (the first version names its own operators).
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

/// Withdraws one key without a new bundle. The signatures cover `text`.
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
    std::vector<base::InstanceId> attestors; ///< Chosen peers, in other data centres if possible.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, incarnation, dataCentre, peerAddress, attestors);
    }
};

/// The last record of a process. Releases its leases; later frames of the process are rejected.
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

/// Why the previous holder of a scope no longer has authority over it.
enum class ClaimBasis : std::uint8_t {
    Free, ///< The scope was never held, or was released.
    Restarted, ///< The holder's instance started a newer incarnation at the same address.
    Expired, ///< No frame of the holder reached the claimant for the duration of the lease.
    AttestationLimit, ///< Share scopes only: no attestation can still be valid.
};

/// Claims the lease of a scope, which one process holds at a time. Scopes are named
/// "orders/<data centre>", "usage/<shard>", "share/<slot>" and "snapshot".
/// Every later frame of the holder's incarnation renews the lease. A claim is accepted only if
/// `supersedes` has the expected value: for a free scope the offset of its release (0 if it was
/// never claimed), else the offset of the last accepted claim or of the holder's last frame,
/// whichever is later; for a share scope with basis Expired it is also no earlier than the last
/// withdrawal of an attestation. The scope's epoch is the offset of the accepted claim.
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

/// Releases a scope. Accepted if `epoch` is the scope's current epoch.
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

/// An attestor withdraws its attestation: it will not attest this incarnation again.
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

/// Opens order slot `slot` of an endpoint. Accepted if it is the next slot, the previous one is
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
    Fenced, ///< Abandoned under a newer epoch; the endpoint rejects the older one.
};

/// Closes an open slot; the first record is accepted. The sender closes with Done, Refused or
/// NeverSent, the scope's current holder with one of the others if the log confirms it.
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

/// Claims the only execution of a non-idempotent call. The first claim for (organisation,
/// idempotency key) is accepted.
struct ActionClaimed
{
    base::OrganisationId organisation;
    std::string idempotencyKey;
    std::string bodyDigest;
    base::InstanceId owner;
    base::Incarnation incarnation = 0;
    std::uint64_t claim = 0; ///< Sequence number among the claims of the process.
    std::int64_t wallSeconds = 0; ///< Unix time, for eviction after the configured retention.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, idempotencyKey, bodyDigest, owner, incarnation, claim, wallSeconds);
    }
};

enum class ActionResult : std::uint8_t { Answered, NotRun, Unknown };

/// The outcome of a claimed action; the first record is accepted.
struct ActionFinished
{
    base::OrganisationId organisation;
    std::string idempotencyKey;
    ActionResult result = ActionResult::Unknown;
    std::uint16_t status = 0;
    std::string contentType;
    std::string body; ///< At most MaxRecordedAnswerBytes.
    bool bodyRecorded = true; ///< False if the body was too long to record.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, idempotencyKey, result, status, contentType, body, bodyRecorded);
    }
};

constexpr std::size_t MaxRecordedAnswerBytes = 65'536;

/// Tokens used by one answered request.
struct UsageItem
{
    std::uint64_t sequence = 0; ///< Per counting instance and incarnation, from 1.
    base::OrganisationId organisation;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, organisation, promptTokens, outputTokens);
    }
};

/// Usage counted by `instance`. Each (instance, incarnation, sequence) is accepted once,
/// regardless of the writer.
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

/// Closes the open usage window, which covers the usage between the previous WindowClosed record
/// and this one. Accepted if `window` is later than the last one closed and `epoch` is current for
/// the shard.
struct WindowClosed
{
    std::int64_t window = 0; ///< Unix time of the window's start, in seconds.
    std::uint32_t shard = 0;
    base::Offset epoch = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(window, shard, epoch);
    }
};

/// Billing has acknowledged a closed window of a shard.
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

/// One part of a snapshot of the state after offset `through`. A snapshot is complete once all
/// its parts are in the log; parts by different writers are never combined.
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

/// One entry of the platform's log: the records that a writer had pending (group commit).
/// (writer, incarnation, sequence) identifies the frame, so that an append with unknown outcome is
/// resolved by reading the log; a duplicate frame is ignored.
struct Frame
{
    base::InstanceId writer; ///< An operator's tool writes as "tool/<random>".
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    base::Offset snapshotOffset = 0; ///< First part of the newest snapshot; 0 if none.
    std::uint64_t bundleVersion = 0; ///< Version in force at the writer; 0 if none.
    std::vector<Record> records; ///< May be empty; a frame also serves as heartbeat.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(writer, incarnation, sequence, snapshotOffset, bundleVersion, records);
    }
};

std::string encodeFrame(const Frame &frame);

/// Decodes untrusted bytes; fails if they are not a well-formed frame.
base::Outcome<Frame> decodeFrame(const std::string &bytes);

} // namespace zinniadoor::control
