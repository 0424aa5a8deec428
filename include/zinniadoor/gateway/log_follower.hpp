#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/log_part.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"
#include "zinniadoor/gateway/read_schedule.hpp"
#include "zinniadoor/gateway/shared_reads.hpp"
#include "zinniadoor/gateway/snapshot_service.hpp"

namespace zinniadoor::gateway {

struct FollowerOptions
{
    LogName log = LogName::Configuration;
    ProcessName self;
    absl::Duration readWait; ///< How long the store may block a read until a record arrives.
    absl::Duration readInterval; ///< While this instance is the reader.
    absl::Duration retryDelay; ///< After a failed read; doubles while reads keep failing.
    absl::Duration relayTimeout; ///< Without relayed parts, after which this instance reads.
    absl::Duration startTimeout; ///< After the start, without parts; zero: reads at once.
    bool relaysRecords = true; ///< False: too large to relay; others read from the store.
};

/// Settings of the follower of the configuration or the endpoints whose notice this is; without
/// the name of the instance.
FollowerOptions followerOptions(LogName log, absl::Duration notice);

/// Name of a log in events and metrics.
const char *nameOf(LogName log);

/// Receives the records of a log that keeps the newest record of each key.
class FollowerHandler
{
public:
    virtual ~FollowerHandler() = default;

    /// The newest records of all keys; keys that are not listed have been dropped. In a later era
    /// than before, they may be older than those already received.
    virtual void onNewest(const NewestRecords &newest) = 0;

    /// Called in order for each record that this instance reads or receives from the reader.
    /// Returns false for a mere heartbeat, which is not relayed.
    virtual bool onRecord(const KeyedRecord &record) = 0;

    /// All records up to now have been applied.
    virtual void onCurrent() = 0;
    virtual void onFailure(const base::Reason &reason) = 0;

    /// The store is called.
    virtual void onRead(ReadCause) { }
    virtual void onUnreadable(const base::Reason &reason) = 0;
};

/// Sends parts of a log to the other instances, without guarantee of delivery.
class LogRelay
{
public:
    virtual ~LogRelay() = default;
    virtual void publish(const LogPart &part) = 0;

    /// Number of bytes of records that can be published now without long waits.
    virtual std::size_t capacity() const = 0;
};

using CatchUpCallback = std::function<void(bool isCurrent)>;

/// Follows a keyed log, starting with its newest records; starts over if the store has trimmed
/// records that it had not read yet. One instance reads and relays to the others, which read the
/// store themselves when they receive nothing for the relay timeout (`ReadSchedule`). Records that
/// are too long to be relayed, like all at the start, are handed on by `SharedReads`. For the event
/// thread only.
class LogFollower
{
public:
    virtual ~LogFollower() = default;
    virtual void start() = 0;

    /// Another instance has read and relayed this part of the log.
    virtual void onPart(const LogPart &part) = 0;
    virtual void stop() = 0;

    /// Reads the store unless a read that began after this call does anyway. Calls `done(true)`
    /// once all records that the log holds now have been applied, `done(false)` if the store could
    /// not be read; neither before this returns nor after `stop`.
    virtual void catchUp(const CatchUpCallback &done) = 0;

    /// Whether all records up to `atLeast` have been applied.
    virtual SnapshotState state(LogPosition atLeast) const = 0;

    /// Of the next record to apply.
    virtual LogPosition position() const = 0;

    /// The first records came from another instance, and the store is asked for newer ones.
    virtual bool isConfirming() const = 0;

    /// The latest time as of which all records of the log are known to have been applied; infinite
    /// past while records are known to be missing.
    virtual absl::Time completeAsOf() const = 0;
};

/// Calls a function once after a delay.
class DelayTimer
{
public:
    virtual ~DelayTimer() = default;

    /// Replaces a pending call.
    virtual void start(absl::Duration delay, std::function<void()> done) = 0;
    virtual void cancel() = 0;
};

/// Dependencies of a follower; all must outlive it.
struct FollowerParts
{
    LogStore &store;
    const RecordDecoder &decoder;
    const base::Clock &clock;
    LogRelay &relay;
    FollowerHandler &handler;

    /// Makes the follower's timer; empty for one of the event thread. Tests pass virtual time.
    std::function<std::unique_ptr<DelayTimer>()> makeTimer = {};

    /// Hands on long records of other instances; null: they are read from the store at once.
    SharedReads *shared = nullptr;
};

std::unique_ptr<LogFollower> makeLogFollower(boost::asio::io_context &context,
                                             const FollowerParts &parts,
                                             const FollowerOptions &options);

} // namespace zinniadoor::gateway
