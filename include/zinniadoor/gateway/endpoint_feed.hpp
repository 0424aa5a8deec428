#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include "zinniadoor/gateway/endpoint_directory.hpp"
#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway {

/// Applies the endpoints' log to the directory. Entries that expired during an outage of the store,
/// or were lost when it was restored from an older copy, are listed again shortly after its
/// recovery; removals are deferred until then. What an older copy shows does not undo a removal or
/// a leave until the endpoint has written again.
class EndpointFeed
{
public:
    /// Both outlive the feed.
    EndpointFeed(EndpointDirectory &directory, const RecordDecoder &decoder);

    /// Replaces the listed endpoints by a snapshot; returns whether the directory has changed.
    bool applyNewest(const NewestRecords &newest, absl::Time now);

    struct Change
    {
        bool directory = false; ///< The directory has changed.
        bool log = false; ///< The record differs from the previous one of its key.
    };
    Change applyRecord(const KeyedRecord &record, absl::Time now);

    /// The log has been read to its end; applies deferred removals that are due.
    bool noteCurrent(absl::Time now);
    void noteFailure(absl::Time now);

private:
    Change set(const KeyedRecord &record, absl::Time now);

    /// Returns whether the endpoint has become cold or warm.
    bool noteColdness(const EndpointRecord &record, bool started, absl::Time now);
    bool remove(const base::EndpointId &id, absl::Time now);
    bool removeNow(const base::EndpointId &id, absl::Time now);

    /// Whether a record of the copy that the store was restored from shows less than is known.
    bool isOutdated(const KeyedRecord &record) const;

    struct Removed
    {
        std::uint64_t startTimeMs = 0; ///< Of the endpoint's process.
        absl::Time at;
    };

    EndpointDirectory &directory_;
    const RecordDecoder &decoder_;
    absl::flat_hash_map<std::string, EndpointRecord> listed_; ///< By log key.
    absl::flat_hash_map<base::EndpointId, absl::Time> removeAt_;
    absl::flat_hash_map<base::EndpointId, Removed> removed_; ///< For `RemovedMemory`.
    std::optional<StoreEra> era_;
    absl::flat_hash_set<base::EndpointId>
        unconfirmed_; ///< Known before the store was restored, and not written again since.
    absl::flat_hash_map<std::string, KeyedRecord> held_; ///< Outdated records, by log key.
    absl::Time heldUntil_ = absl::InfinitePast();
    absl::flat_hash_set<std::string> rejected_; ///< Keys whose invalid record was logged.
    absl::Time lastCurrent_ = absl::InfiniteFuture();
    absl::Time graceUntil_ = absl::InfinitePast(); ///< Removals are deferred until then.
    bool failing_ = false;
    bool firstListing_ = true; ///< Endpoints listed first have not just started.
};

} // namespace zinniadoor::gateway
