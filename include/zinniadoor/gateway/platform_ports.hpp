#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/gateway/configuration.hpp"
#include "zinniadoor/gateway/duty_permit.hpp"
#include "zinniadoor/gateway/endpoint_record.hpp"
#include "zinniadoor/gateway/log_position.hpp"

namespace zinniadoor::gateway {

/// Logs of the deployment that the gateway uses.
enum class LogName : std::uint8_t {
    Configuration, ///< Written by operators, read-only.
    Endpoints, ///< Written by endpoints, read-only.
    Lease, ///< Records of the duty lease.
    Journal, ///< Starts, stops and usage counts of instances.
    Instances, ///< Starts and stops of instances.
};

struct AppendResult
{
    bool appended = false; ///< False: the log did not end at the expected offset.
    LogPosition first; ///< Of the first record, if appended.
    LogPosition end; ///< After the last record.
};

struct LogRecords
{
    LogPosition first; ///< Of the first record returned.
    LogPosition end; ///< End of the log at the time of the read.
    bool trimmed = false; ///< The log lacks the requested offset; `first` is the oldest available.
    std::vector<std::string> records;
    bool wasDeclined = false; ///< `ReadChoice` returned false: there are no records.
    std::optional<base::Reason> cut; ///< Why records before `end` may be missing.
};

/// What the beginning of a response shows of a read.
struct ReadProspect
{
    LogPosition end; ///< Of the log.
    std::size_t bytes = 0; ///< Of the whole response; 0 if unknown.
};

/// Returns whether the records are to be received.
using ReadChoice = std::function<bool(const ReadProspect &)>;

/// A record of a log that keeps the newest record of each key.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value; ///< Empty: the key was dropped.
};

struct NewestRecords
{
    std::vector<KeyedRecord> records;
    LogPosition end;
};

/// The platform's store. Callbacks run on the event thread.
class LogStore
{
public:
    virtual ~LogStore() = default;

    /// Appends all records or none; with `expectedEnd`, only if the log ends at its offset. The
    /// store does not compare its era: after a restoration the records may be appended at that
    /// offset in a later era, which is reported as OutcomeUnknown. After OutcomeUnknown the records
    /// may have been appended, or may still be appended later.
    virtual void append(LogName log, const std::vector<std::string> &records,
                        std::optional<LogPosition> expectedEnd,
                        std::function<void(base::Outcome<AppendResult>)> done)
        = 0;

    /// Reads from the offset of `from`; blocks up to `wait` until a record arrives. If the era of
    /// the result is not that of `from`, its records do not follow those before `from`.
    virtual void read(LogName log, LogPosition from, absl::Duration wait,
                      std::function<void(base::Outcome<LogRecords>)> done)
        = 0;

    /// Like `read`, but asks `wants` once the end of the log is known. A read that is cut returns
    /// the records received by then, if there are any.
    virtual void readIf(LogName log, LogPosition from, absl::Duration wait, const ReadChoice &wants,
                        std::function<void(base::Outcome<LogRecords>)> done);

    virtual void readNewest(LogName log, std::function<void(base::Outcome<NewestRecords>)> done)
        = 0;

    /// Reads only keys that follow `key`, where the store can tell.
    virtual void readNewestAfter(LogName log, const std::string &,
                                 std::function<void(base::Outcome<NewestRecords>)> done)
    {
        readNewest(log, std::move(done));
    }

    /// The latest era that a response has named.
    virtual StoreEra era() const = 0;
};

inline void LogStore::readIf(LogName log, LogPosition from, absl::Duration wait,
                             const ReadChoice &wants,
                             std::function<void(base::Outcome<LogRecords>)> done)
{
    read(log, from, wait, [wants, done = std::move(done)](base::Outcome<LogRecords> read) {
        if (read && !read->trimmed && wants && !wants({ read->end, 0 })) {
            read->records.clear();
            read->wasDeclined = true;
        }
        done(std::move(read));
    });
}

/// Decodes records written by operators and endpoints.
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;
    virtual base::Outcome<KeyedRecord> keyed(const std::string &record) const = 0;

    /// Key of the configuration in its log.
    virtual std::string configurationKey() const = 0;

    /// The data centre that a record of the configuration log with this key evacuates; nothing if
    /// it is another record.
    virtual std::optional<base::DataCentreId> evacuatedDataCentre(const std::string &) const
    {
        return std::nullopt;
    }
    virtual base::Outcome<Configuration::Parts> configuration(const std::string &value) const = 0;
    virtual base::Outcome<EndpointRecord> endpoint(const std::string &key,
                                                   const std::string &value) const = 0;
};

enum class DutyAnswer : std::uint8_t {
    Accepted,
    Superseded, ///< The receiver has seen a higher fencing number.
    Refused, ///< Rejected for another reason.
};

struct UsageReport
{
    std::uint64_t window = 0;
    std::vector<std::pair<std::string, std::uint64_t>> requestsByOrganisation;
};

struct FleetOrder
{
    std::string service;
    std::string dataCentre;
    std::uint32_t count = 0;
    bool reclaimable = false;
};

/// Calls to the platform that only the holder of the duty lease makes.
class DutyClient
{
public:
    virtual ~DutyClient() = default;
    virtual void reportUsage(const UsageReport &report, const DutyPermitPtr &permit,
                             std::function<void(base::Outcome<DutyAnswer>)> done)
        = 0;
    virtual void orderFleet(const FleetOrder &order, const DutyPermitPtr &permit,
                            std::function<void(base::Outcome<DutyAnswer>)> done)
        = 0;
};

} // namespace zinniadoor::gateway
