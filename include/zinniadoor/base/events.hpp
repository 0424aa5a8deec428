#pragma once

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace zinniadoor::base {

enum class EventLevel { Debug, Info, Warning, Error };

/// Numbered events of the structured log. The catalogue is docs/EVENTS.md.
/// Numbers are never used again: 1xx base, 2xx control, 4xx adapters, 5xx daemon, 6xx tool.
enum class EventId {
    BundleApplied = 201,
    BundleRejected = 202,
    KeyWithdrawn = 203,
    LeaseGained = 210,
    LeaseLost = 211,
    SnapshotLoaded = 220,
    PeerStateAdopted = 221,
    LogReadFailed = 401,
    LogAppendFailed = 402,
    HttpServerFailed = 403,
    DaemonStarted = 501,
    DaemonStopping = 502,
    DaemonStopped = 503,
    SettingsRejected = 504,
    ReadinessChanged = 505,
};

/// One row of the catalogue.
struct EventInfo
{
    EventId id;
    EventLevel level;
    const char *name;
    const char *text;
};

/// All events, in order of number.
const std::vector<EventInfo> &eventTable();

/// The table's row of `id`; an event without a row stops the process.
const EventInfo &eventInfo(EventId id);

enum class LogFormat { KeyValue, Json };

struct LogOptions
{
    EventLevel level = EventLevel::Info;
    LogFormat format = LogFormat::KeyValue;
    std::string instance; ///< Written into each line.
};

/// Sets up logging to standard error. May be called again to change level or format.
void startLogging(const LogOptions &options);

using EventField = std::pair<const char *, std::string>;

/// Writes one line: time, level, number, name and the fields. Never pass a key or a prompt.
void logEvent(EventId id, std::initializer_list<EventField> fields);

} // namespace zinniadoor::base
