#pragma once

#include <functional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include "zinniadoor/gateway/endpoint_directory.hpp"
#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway {

/// Brings the endpoints' log into the directory. Entries that lapsed while the store was away
/// come back shortly after its return; until then the endpoints stay in use.
class EndpointFeed
{
public:
    /// Both outlive the feed.
    EndpointFeed(EndpointDirectory &directory, const RecordDecoder &decoder);

    /// Returns whether the directory has changed.
    bool applyNewest(const std::vector<KeyedRecord> &records, absl::Time now);

    struct Change
    {
        bool directory = false; ///< The directory has changed.
        bool log = false; ///< The record says other things than the one of its key before it.
    };
    Change applyRecord(const KeyedRecord &record, absl::Time now);

    /// The log is current; removals that were put off may be due.
    bool noteCurrent(absl::Time now);
    void noteFailure(absl::Time now);

private:
    Change set(const KeyedRecord &record, absl::Time now);
    bool remove(const base::EndpointId &id, absl::Time now);

    EndpointDirectory &directory_;
    const RecordDecoder &decoder_;
    absl::flat_hash_map<std::string, EndpointRecord> listed_; ///< By key, as in the log.
    absl::flat_hash_map<base::EndpointId, absl::Time> removeAt_;
    absl::flat_hash_set<std::string> unreadable_; ///< Keys whose record was logged as such.
    absl::Time lastCurrent_ = absl::InfiniteFuture();
    absl::Time graceUntil_ = absl::InfinitePast(); ///< Removals wait until then.
    bool failing_ = false;
};

} // namespace zinniadoor::gateway
