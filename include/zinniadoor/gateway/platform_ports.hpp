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

namespace zinniadoor::gateway {

/// Position in a log; the first record has offset 0.
using LogOffset = std::uint64_t;

/// Logs of this deployment that the gateway uses.
enum class LogName : std::uint8_t {
    Configuration, ///< Written by operators, read-only.
    Endpoints, ///< Written by endpoints, read-only.
    Lease, ///< Claims and renewals of the duties' lease.
    Journal, ///< Instances' starts, stops and usage counts.
};

struct AppendResult
{
    bool appended = false; ///< False: the log did not end at the expected offset.
    LogOffset first = 0; ///< Offset of the first record, if appended.
    LogOffset end = 0; ///< Offset that follows the last record.
};

struct LogRecords
{
    LogOffset first = 0; ///< Offset of the first record returned.
    LogOffset end = 0; ///< Where the log ended.
    bool trimmed = false; ///< What was asked for is no longer kept; `first` still is.
    std::vector<std::string> records;
};

/// A record of a log that keeps the newest one of each key.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value; ///< Nothing: the key was dropped.
};

struct NewestRecords
{
    std::vector<KeyedRecord> records;
    LogOffset end = 0;
};

/// The platform's store. Callbacks run on the event thread.
class LogStore
{
public:
    virtual ~LogStore() = default;

    /// Appends all or nothing; with `expectedEnd` only if the log ends there. OutcomeUnknown:
    /// it may have been appended, or may be later.
    virtual void append(LogName log, const std::vector<std::string> &records,
                        std::optional<LogOffset> expectedEnd,
                        std::function<void(base::Outcome<AppendResult>)> done)
        = 0;

    /// Reads from `from` on; waits up to `wait` for a record to come.
    virtual void read(LogName log, LogOffset from, absl::Duration wait,
                      std::function<void(base::Outcome<LogRecords>)> done)
        = 0;

    virtual void readNewest(LogName log, std::function<void(base::Outcome<NewestRecords>)> done)
        = 0;
};

/// Reads what operators and endpoints wrote.
class RecordDecoder
{
public:
    virtual ~RecordDecoder() = default;
    virtual base::Outcome<KeyedRecord> keyed(const std::string &record) const = 0;

    /// Key of the configuration in its log.
    virtual std::string configurationKey() const = 0;
    virtual base::Outcome<Configuration::Parts> configuration(const std::string &value) const = 0;
    virtual base::Outcome<EndpointRecord> endpoint(const std::string &key,
                                                   const std::string &value) const = 0;
};

enum class DutyAnswer : std::uint8_t {
    Accepted,
    Superseded, ///< A higher fencing number was seen.
    Refused, ///< Not taken for another reason.
};

struct UsageReport
{
    std::uint64_t window = 0;
    std::vector<std::pair<std::string, std::uint64_t>> requestsOf; ///< By organisation.
};

struct FleetOrder
{
    std::string service;
    std::string dataCentre;
    std::uint32_t count = 0;
    bool reclaimable = false;
};

/// Duties towards the platform that one instance does at a time.
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
