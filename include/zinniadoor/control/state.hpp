#pragma once

#include <string>
#include <vector>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/action_table.hpp"
#include "zinniadoor/control/configuration_chain.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/order_slots.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/snapshot_tracker.hpp"
#include "zinniadoor/control/usage_ledger.hpp"

namespace zinniadoor::control {

/// The result of applying a frame.
struct ApplyResult
{
    base::Status frame = base::Done {}; ///< Failed if the frame as a whole was rejected.
    std::vector<base::Status> records; ///< One per record of an accepted frame.
};

/// A frame with its bundles already parsed, since parsing is too slow for a serving thread.
struct PreparedFrame
{
    Frame frame;
    std::vector<ParsedBundle> bundles; ///< One per BundlePublished record, in order.
};

PreparedFrame prepareFrame(Frame frame);

/// The replicated state machine: the result of applying the log up to an offset. Deterministic, so
/// readers that applied the same frames have equal states.
class State
{
public:
    /// Applies a frame. Frames must be applied in log order, without gaps.
    ApplyResult applyPrepared(const PreparedFrame &prepared, base::Offset offset);
    ApplyResult apply(const Frame &frame, base::Offset offset)
    {
        return applyPrepared(prepareFrame(frame), offset);
    }

    /// Skips a log entry that is not a valid frame.
    void skip(base::Offset offset) { advance(offset); }

    /// Offset of the last entry applied or skipped; 0 if none.
    base::Offset appliedThrough() const { return appliedThrough_; }

    const ConfigurationChain &configuration() const { return configuration_; }
    const InstanceTable &instances() const { return instances_; }
    const LeaseTable &leases() const { return leases_; }
    const OrderSlots &orders() const { return orders_; }
    const ActionTable &actions() const { return actions_; }
    const UsageLedger &usage() const { return usage_; }
    const SnapshotTracker &snapshots() const { return snapshots_; }

    /// The value of `supersedes` that a claim of the scope needs now.
    base::Offset offsetToSupersede(const std::string &scope, ClaimBasis basis) const
    {
        return leases_.offsetToSupersede(scope, basis, instances_);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(appliedThrough_, configuration_, instances_, leases_, orders_, actions_, usage_,
                snapshots_);
    }

private:
    friend class RecordApplier;

    void advance(base::Offset offset);
    void evictInactive();

    base::Offset appliedThrough_ = 0;
    ConfigurationChain configuration_;
    InstanceTable instances_;
    LeaseTable leases_;
    OrderSlots orders_;
    ActionTable actions_;
    UsageLedger usage_;
    SnapshotTracker snapshots_;
};

/// Encodes the state; equal states have equal bytes.
std::string encodeState(const State &state);

/// Fails for malformed bytes and for another format version.
base::Outcome<State> decodeState(const std::string &bytes);

} // namespace zinniadoor::control
