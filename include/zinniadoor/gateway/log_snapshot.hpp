#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway {

/// Longest snapshot that is decoded, decompressed.
constexpr std::size_t MaxSnapshotBytes = std::size_t { 32 } * 1024 * 1024;

/// Compressed form in which instances hand each other the newest records of a log.
std::string encodeSnapshot(const std::vector<KeyedRecord> &records);

/// Safe on any input.
base::Outcome<std::vector<KeyedRecord>> decodeSnapshot(const std::string &bytes);

/// Keeps the newest record of each key on its way to another handler. Not thread-safe.
class SnapshotKeeper : public FollowerHandler
{
public:
    /// `next` outlives this handler.
    explicit SnapshotKeeper(FollowerHandler &next)
        : next_(next)
    { }

    void onNewest(const NewestRecords &newest) override;
    bool onRecord(const KeyedRecord &record) override;
    void onCurrent() override { next_.onCurrent(); }
    void onFailure(const base::Reason &reason) override { next_.onFailure(reason); }
    void onRead(ReadCause cause) override { next_.onRead(cause); }
    void onUnreadable(const base::Reason &reason) override { next_.onUnreadable(reason); }

    /// The records in the form of `encodeSnapshot`. Heartbeats are those of the time at which
    /// their record last changed otherwise.
    std::shared_ptr<const std::string> encoded();

private:
    FollowerHandler &next_;
    std::map<std::string, std::string> values_; ///< By key.
    std::shared_ptr<const std::string> encoded_; ///< Null after a change.
};

} // namespace zinniadoor::gateway
