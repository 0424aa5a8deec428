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

/// What came of a frame.
struct ApplyResult
{
    base::Status frame = base::Done {}; ///< Why the frame as a whole did not count.
    std::vector<base::Status> records; ///< For each record of a frame that counted.
};

/// A frame with its bundles already parsed, which takes too long for a thread that serves.
struct PreparedFrame
{
    Frame frame;
    std::vector<ParsedBundle> bundles; ///< One for each BundlePublished, in order.
};

PreparedFrame prepareFrame(Frame frame);

/// All that the log has decided up to an offset. A pure function of the frames up to there:
/// readers that applied the same frames have equal states.
class State
{
public:
    /// Frames come in log order, `offset` by `offset`.
    ApplyResult applyPrepared(const PreparedFrame &prepared, base::Offset offset);
    ApplyResult apply(const Frame &frame, base::Offset offset)
    {
        return applyPrepared(prepareFrame(frame), offset);
    }

    /// Passes over a log record that is no frame.
    void skip(base::Offset offset) { advance(offset); }

    /// Offset of the last record applied or passed over; 0 for none.
    base::Offset appliedThrough() const { return appliedThrough_; }

    const ConfigurationChain &configuration() const { return configuration_; }
    const InstanceTable &instances() const { return instances_; }
    const LeaseTable &leases() const { return leases_; }
    const OrderSlots &orders() const { return orders_; }
    const ActionTable &actions() const { return actions_; }
    const UsageLedger &usage() const { return usage_; }
    const SnapshotTracker &snapshots() const { return snapshots_; }

    /// What a claim of the scope must name now.
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

/// Equal states have equal bytes.
std::string encodeState(const State &state);

/// Fails for bytes of another format or malformed ones.
base::Outcome<State> decodeState(const std::string &bytes);

} // namespace zinniadoor::control
