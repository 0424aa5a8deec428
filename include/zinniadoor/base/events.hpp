#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace zinniadoor::base {

enum class EventLevel { Debug, Info, Warning, Error };

/// Numbered events of the structured log, listed in docs/EVENTS.md. Numbers of removed events are
/// not reused. Ranges: 1xx base, 2xx control, 4xx adapters, 5xx daemon, 6xx tool, 7xx gateway.
enum class EventId {
    EventHandlerFailed = 101,
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
    GatewayStarted = 701,
    GatewayStopping = 702,
    GatewayStopped = 703,
    SettingsReloaded = 704,
    SettingsReloadFailed = 705,
    GatewayFailed = 706,
    CallerBytesRefused = 707,
    ConfigurationApplied = 710,
    ConfigurationRejected = 711,
    EndpointsChanged = 712,
    EndpointRecordRejected = 713,
    EndpointSuspected = 714,
    EndpointLeaving = 715,
    EndpointRests = 716,
    EndpointLimitChanged = 717,
    DependencyLost = 720,
    DependencyRegained = 721,
    StoreRestored = 722,
    RequestDispatched = 730,
    PromptReadFailed = 731,
    CallFailed = 732,
    RequestEnded = 733,
    EndpointSilent = 734,
    EndpointSilenceEnded = 735,
    EndpointCrashed = 736,
    AdmissionTried = 737,
    RefusedRequestTried = 738,
    RefusedRequestCleared = 739,
    DutyLeaseGained = 740,
    DutyLeaseLost = 741,
    UsageReported = 742,
    UsageReportFailed = 743,
    FleetOrdered = 744,
    FleetOrderFailed = 745,
    StageOrdered = 746,
    StageOrderFailed = 747,
    PeerFound = 750,
    PeerLost = 751,
    PeerMessageRejected = 752,
    LogReaderChanged = 753,
    PeerLeaderChanged = 754,
    LogPartsDelayed = 755,
    LogRecordsRead = 756,
    QuotaReached = 757,
    StoreReadFailed = 758,
    StoreReadTurn = 759,
    SpillShareChanged = 760,
    SnapshotReceived = 761,
    LogOutdated = 762,
    EndpointColdnessChanged = 770,
    EvacuationsChanged = 771,
    EndpointFailureReported = 780,
    EndpointFailureApplied = 781,
    FailureReporterDisbelieved = 782,
    StreamTakenUp = 790,
    StreamRejected = 791,
    InstanceCutOff = 792,
    InstanceReachesAgain = 793,
    RelayFailed = 794,
};

/// One row of the event table.
struct EventInfo
{
    EventId id;
    EventLevel level;
    const char *name;
    const char *text;
};

/// All events, ordered by number.
const std::vector<EventInfo> &eventTable();

/// The row of `id`. Aborts the process if there is none.
const EventInfo &eventInfo(EventId id);

enum class LogFormat { KeyValue, Json };

enum class LogSink {
    StandardError, ///< Written synchronously by the logging thread.
    StandardOutput, ///< Written by a background thread; lines are dropped while its queue is full.
};

/// Parses a level name; empty if the name is unknown.
std::optional<EventLevel> eventLevelNamed(const std::string &name);

struct LogOptions
{
    EventLevel level = EventLevel::Info;
    LogFormat format = LogFormat::KeyValue;
    LogSink sink = LogSink::StandardError;
    std::string instance; ///< Instance id written to each line; omitted if empty.
};

/// Configures logging. May be called again to change the level or format.
void startLogging(const LogOptions &options);

/// Writes all queued lines and switches to synchronous writing. Called before the process exits.
void flushLogging();

/// Number of lines dropped because the queue of the background thread was full.
std::uint64_t droppedLogLines();

using EventField = std::pair<const char *, std::string>;

/// Writes one line: time, level, number, name and the fields. Fields must not contain API keys or
/// prompts.
void logEvent(EventId id, std::initializer_list<EventField> fields);

} // namespace zinniadoor::base
