#include "zinniadoor/ctl/frame_summary.hpp"

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/records.hpp"

namespace zinniadoor::ctl {

namespace {

struct DescribeRecord
{
    std::string operator()(const control::BundlePublished &) const { return "bundle_published"; }
    std::string operator()(const control::KeyWithdrawn &r) const
    {
        return absl::StrCat("key_withdrawn ", r.key.str());
    }
    std::string operator()(const control::InstanceStarted &) const { return "instance_started"; }
    std::string operator()(const control::InstanceStopped &) const { return "instance_stopped"; }
    std::string operator()(const control::LeaseClaimed &r) const
    {
        return absl::StrCat("lease_claimed ", r.scope);
    }
    std::string operator()(const control::LeaseReleased &r) const
    {
        return absl::StrCat("lease_released ", r.scope);
    }
    std::string operator()(const control::AttestationWithdrawn &r) const
    {
        return absl::StrCat("vouch_withdrawn ", r.instance.str());
    }
    std::string operator()(const control::OrderOpened &r) const
    {
        return absl::StrCat("order_opened ", r.endpoint.str(), "/", r.slot);
    }
    std::string operator()(const control::OrderClosed &r) const
    {
        return absl::StrCat("order_closed ", r.endpoint.str(), "/", r.slot);
    }
    std::string operator()(const control::ActionClaimed &r) const
    {
        return absl::StrCat("action_claimed ", r.organisation.str());
    }
    std::string operator()(const control::ActionFinished &r) const
    {
        return absl::StrCat("action_finished ", r.organisation.str());
    }
    std::string operator()(const control::UsageCounted &r) const
    {
        return absl::StrCat("usage_counted ", r.items.size());
    }
    std::string operator()(const control::WindowClosed &r) const
    {
        return absl::StrCat("window_closed ", r.window, "/", r.shard);
    }
    std::string operator()(const control::WindowReported &r) const
    {
        return absl::StrCat("window_reported ", r.window, "/", r.shard);
    }
    std::string operator()(const control::SnapshotPart &r) const
    {
        return absl::StrCat("snapshot_part ", r.part + 1, " of ", r.parts);
    }
};

} // namespace

FrameSummary summariseFrame(const std::string &bytes)
{
    const base::Outcome<control::Frame> frame = control::decodeFrame(bytes);
    if (!frame)
        return { "?", 0, 0, absl::StrCat("undecodable entry, ", bytes.size(), " bytes") };
    FrameSummary summary { frame->writer.str(), frame->sequence, frame->bundleVersion, "" };
    for (const control::Record &record : frame->records)
        absl::StrAppend(&summary.records, summary.records.empty() ? "" : "; ",
                        std::visit(DescribeRecord {}, record));
    if (summary.records.empty())
        summary.records = "heartbeat";
    return summary;
}

} // namespace zinniadoor::ctl
