#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/log_part.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"

namespace zinniadoor::gateway {

struct FollowerOptions
{
    LogName log = LogName::Configuration;
    ProcessName self;
    absl::Duration wait; ///< How long the store may hold a read until a record comes.
    absl::Duration pause; ///< Between reads.
    absl::Duration retryPause; ///< After a failed read.
    absl::Duration patience; ///< Without a part from another reader, until this instance reads.
    bool tellsRecords = true; ///< False: they are too large; others read them from the store.
};

/// Hears what a log that keeps the newest record of each key holds.
class FollowerHandler
{
public:
    virtual ~FollowerHandler() = default;

    /// The newest records of all keys; keys that are not among them are gone.
    virtual void onNewest(const std::vector<KeyedRecord> &records) = 0;

    /// Returns whether the record says more than that its writer lives. Sees all records that
    /// this instance reads or is told, in order.
    virtual bool onRecord(const KeyedRecord &record) = 0;

    /// The log is current as of now.
    virtual void onCurrent() = 0;
    virtual void onFailure(const base::Reason &reason) = 0;
    virtual void onUnreadable(const base::Reason &reason) = 0;
};

/// Brings parts of a log to the other instances; they may get lost.
class LogRelay
{
public:
    virtual ~LogRelay() = default;
    virtual void tell(const LogPart &part) = 0;
};

/// Follows a keyed log from its newest records on; starts anew when the store has dropped what it
/// had not read yet. One instance reads and tells the others, who read for themselves once they
/// have heard nothing for their patience. For the event thread only.
class LogFollower
{
public:
    virtual ~LogFollower() = default;
    virtual void start() = 0;

    /// Another instance has read this log.
    virtual void onPart(const LogPart &part) = 0;
    virtual void stop() = 0;
};

/// What a follower works with; all outlive it.
struct FollowerParts
{
    LogStore &store;
    const RecordDecoder &decoder;
    const base::Clock &clock;
    LogRelay &relay;
    FollowerHandler &handler;
};

std::unique_ptr<LogFollower> makeLogFollower(boost::asio::io_context &context,
                                             const FollowerParts &parts,
                                             const FollowerOptions &options);

} // namespace zinniadoor::gateway
