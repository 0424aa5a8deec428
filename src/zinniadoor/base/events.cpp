#include "zinniadoor/base/events.hpp"

#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ring.hpp"

namespace zinniadoor::base {

namespace {

struct LogLine
{
    log4cplus::LogLevel level = log4cplus::INFO_LOG_LEVEL;
    std::string text;
};

/// Capacity of the queue to the writer thread: a few seconds of output of a busy instance.
constexpr std::size_t LogQueueLines = 8192;

/// Longest wait of the writer thread before it checks whether to stop.
constexpr absl::Duration WriterPollInterval = absl::Seconds(1);

/// Writes lines on a background thread, so that logging threads never block on the output.
class LogWriter
{
public:
    LogWriter()
        : queue_(LogQueueLines)
        , thread_([this] { run(); })
    { }
    ~LogWriter()
    {
        stopping_.store(true);
        queue_.wake();
        thread_.join();
    }
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void write(LogLine line)
    {
        if (!queue_.tryPush(std::move(line)))
            dropped_.fetch_add(1);
    }
    std::uint64_t dropped() const { return dropped_.load(); }

private:
    void run()
    {
        while (true) {
            if (auto line = queue_.pop(WriterPollInterval))
                log4cplus::Logger::getRoot().forcedLog(line->level, line->text);
            else if (stopping_.load())
                return;
        }
    }

    Ring<LogLine> queue_;
    std::atomic<std::uint64_t> dropped_ { 0 };
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

struct LogState
{
    log4cplus::Initializer initializer;
    absl::Mutex mutex;
    LogOptions options;
    std::shared_ptr<LogWriter> writer;
};

// Never destroyed, since threads may log while the process exits.
LogState &logState()
{
    static auto *state = new LogState;
    return *state;
}

log4cplus::LogLevel toLog4cplus(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case EventLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case EventLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case EventLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string quoted(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\t\\") == std::string::npos;
    if (plain)
        return value;
    using Json = nlohmann::json;
    return Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string keyValueLine(const EventInfo &info, const std::string &instance,
                         std::initializer_list<EventField> fields)
{
    std::string line = absl::StrCat("event=", static_cast<int>(info.id), " name=", info.name);
    if (!instance.empty())
        absl::StrAppend(&line, " instance=", quoted(instance));
    for (const EventField &field : fields)
        absl::StrAppend(&line, " ", field.first, "=", quoted(field.second));
    return line;
}

const char *nameOf(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return "debug";
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "unknown";
}

std::string jsonLine(const EventInfo &info, const LogOptions &options,
                     std::initializer_list<EventField> fields)
{
    using Json = nlohmann::ordered_json;
    Json line;
    if (options.sink == LogSink::StandardOutput) { // The layout of the other sink adds both.
        line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
        line["level"] = nameOf(info.level);
    }
    line["event"] = static_cast<int>(info.id);
    line["name"] = info.name;
    if (!options.instance.empty())
        line["instance"] = options.instance;
    for (const EventField &field : fields)
        line[field.first] = field.second;
    return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

const std::vector<EventInfo> &eventTable()
{
    static const std::vector<EventInfo> table {
        { EventId::EventHandlerFailed, EventLevel::Error, "event_handler_failed",
          "An event handler threw an exception; what it worked on has failed." },
        { EventId::BundleApplied, EventLevel::Info, "bundle_applied",
          "A configuration version was applied." },
        { EventId::BundleRejected, EventLevel::Warning, "bundle_rejected",
          "A published bundle was rejected; the reason is in the fields." },
        { EventId::KeyWithdrawn, EventLevel::Info, "key_withdrawn",
          "A key was revoked; its open streams are closed." },
        { EventId::LeaseGained, EventLevel::Info, "lease_gained",
          "This instance now holds a lease." },
        { EventId::LeaseLost, EventLevel::Warning, "lease_lost",
          "This instance no longer holds a lease." },
        { EventId::SnapshotLoaded, EventLevel::Info, "snapshot_loaded",
          "The state was loaded from a snapshot in the log." },
        { EventId::PeerStateAdopted, EventLevel::Info, "peer_state_adopted",
          "The state was copied from another instance because the log could not be read." },
        { EventId::LogReadFailed, EventLevel::Warning, "log_read_failed",
          "The platform's log could not be read." },
        { EventId::LogAppendFailed, EventLevel::Warning, "log_append_failed",
          "An append to the platform's log failed or its response was lost." },
        { EventId::HttpServerFailed, EventLevel::Error, "http_server_failed",
          "A listening address could not be opened." },
        { EventId::DaemonStarted, EventLevel::Info, "daemon_started", "All threads are running." },
        { EventId::DaemonStopping, EventLevel::Info, "daemon_stopping",
          "A planned shutdown started; new work is rejected." },
        { EventId::DaemonStopped, EventLevel::Info, "daemon_stopped",
          "The planned stop is complete." },
        { EventId::SettingsRejected, EventLevel::Error, "settings_rejected",
          "The settings file is invalid; nothing was started." },
        { EventId::ReadinessChanged, EventLevel::Info, "readiness_changed",
          "The result of the readiness check changed." },
        { EventId::GatewayStarted, EventLevel::Info, "gateway_started",
          "The gateway is listening but not ready yet." },
        { EventId::GatewayStopping, EventLevel::Info, "gateway_stopping",
          "A planned shutdown started; requests in progress are completed." },
        { EventId::GatewayStopped, EventLevel::Info, "gateway_stopped",
          "The planned stop is complete." },
        { EventId::SettingsReloaded, EventLevel::Info, "settings_reloaded",
          "The settings file was reloaded." },
        { EventId::SettingsReloadFailed, EventLevel::Warning, "settings_reload_failed",
          "The changed settings file is invalid; the current settings stay in effect." },
        { EventId::GatewayFailed, EventLevel::Error, "gateway_failed",
          "The gateway could not start; the process exits." },
        { EventId::CallerBytesRefused, EventLevel::Warning, "caller_bytes_refused",
          "Requests were refused or connections closed to save memory or descriptors." },
        { EventId::ConfigurationApplied, EventLevel::Info, "configuration_applied",
          "A version of the operators' configuration was applied." },
        { EventId::ConfigurationRejected, EventLevel::Warning, "configuration_rejected",
          "A configuration is invalid or outdated; the current one stays in effect." },
        { EventId::EndpointsChanged, EventLevel::Info, "endpoints_changed",
          "The list of endpoints changed." },
        { EventId::EndpointRecordRejected, EventLevel::Warning, "endpoint_record_rejected",
          "A record of the endpoint list is invalid; its endpoint is not used." },
        { EventId::EndpointSuspected, EventLevel::Warning, "endpoint_suspected",
          "Consecutive calls to an endpoint failed; it is temporarily ejected." },
        { EventId::EndpointLeaving, EventLevel::Info, "endpoint_leaving",
          "An endpoint announced its shutdown in a response; it receives no new requests." },
        { EventId::EndpointRests, EventLevel::Debug, "endpoint_rests",
          "An endpoint rejected a request with a retry delay; it receives nothing until the delay "
          "ends." },
        { EventId::EndpointLimitChanged, EventLevel::Info, "endpoint_limit_changed",
          "An endpoint limits its calls from all instances together, or no longer does." },
        { EventId::DependencyLost, EventLevel::Warning, "dependency_lost",
          "A platform service does not respond." },
        { EventId::DependencyRegained, EventLevel::Info, "dependency_regained",
          "A platform service responds again." },
        { EventId::StoreRestored, EventLevel::Warning, "store_restored",
          "The store was restored from an older copy; its newest records are lost." },
        { EventId::RequestDispatched, EventLevel::Info, "request_dispatched",
          "A request was sent to an endpoint; the fields show the inputs of the choice." },
        { EventId::PromptReadFailed, EventLevel::Warning, "prompt_read_failed",
          "A remote prefill failed." },
        { EventId::CallFailed, EventLevel::Warning, "call_failed",
          "An attempt of a request failed; the decision field shows the next step." },
        { EventId::RequestEnded, EventLevel::Info, "request_ended",
          "A request was answered, or its caller disconnected." },
        { EventId::EndpointSilent, EventLevel::Info, "endpoint_silent",
          "A call has received nothing for the silence timeout." },
        { EventId::EndpointSilenceEnded, EventLevel::Info, "endpoint_silence_ended",
          "A silent call has received data again." },
        { EventId::EndpointCrashed, EventLevel::Warning, "endpoint_crashed",
          "An endpoint broke the connection while it worked on a request." },
        { EventId::AdmissionTried, EventLevel::Info, "admission_tried",
          "A request whose answer is expected too late was sent, to correct the estimate." },
        { EventId::RefusedRequestTried, EventLevel::Warning, "refused_request_tried",
          "A request that is refused for crashes of endpoints was sent to one, as a trial." },
        { EventId::RefusedRequestCleared, EventLevel::Info, "refused_request_cleared",
          "A request that was refused for crashes of endpoints was answered: it is sound." },
        { EventId::DutyLeaseGained, EventLevel::Info, "duty_lease_gained",
          "This instance now holds the lease for platform duties." },
        { EventId::DutyLeaseLost, EventLevel::Warning, "duty_lease_lost",
          "This instance no longer holds the lease for platform duties." },
        { EventId::UsageReported, EventLevel::Info, "usage_reported",
          "The usage of a window was reported." },
        { EventId::UsageReportFailed, EventLevel::Warning, "usage_report_failed",
          "A usage report was rejected or its response was lost." },
        { EventId::FleetOrdered, EventLevel::Info, "fleet_ordered",
          "A target number of endpoints was ordered." },
        { EventId::FleetOrderFailed, EventLevel::Warning, "fleet_order_failed",
          "An order of endpoints was rejected or its response was lost." },
        { EventId::StageOrdered, EventLevel::Info, "stage_ordered",
          "An engine was ordered to switch to prefill or decode." },
        { EventId::StageOrderFailed, EventLevel::Warning, "stage_order_failed",
          "An engine rejected an order, or its response was lost." },
        { EventId::PeerFound, EventLevel::Info, "peer_found", "Another instance was discovered." },
        { EventId::PeerLost, EventLevel::Warning, "peer_lost",
          "Another instance has sent nothing within the timeout." },
        { EventId::PeerMessageRejected, EventLevel::Warning, "peer_message_rejected",
          "A peer's message could not be decoded." },
        { EventId::LogReaderChanged, EventLevel::Info, "log_reader_changed",
          "The instance that reads a log for this data centre changed." },
        { EventId::PeerLeaderChanged, EventLevel::Info, "peer_leader_changed",
          "The instance that aggregates the updates of this data centre changed." },
        { EventId::LogPartsDelayed, EventLevel::Warning, "log_parts_delayed",
          "Parts of a log for other instances wait long to be sent." },
        { EventId::LogRecordsRead, EventLevel::Info, "log_records_read",
          "This instance read records of a log, and why it did." },
        { EventId::QuotaReached, EventLevel::Info, "quota_reached",
          "An organisation reached its quota; the fields show this instance's view of it." },
        { EventId::StoreReadFailed, EventLevel::Warning, "store_read_failed",
          "A read of a log failed; the fields show its size and how old the records it lacks "
          "are." },
        { EventId::StoreReadTurn, EventLevel::Info, "store_read_turn",
          "This instance reads long records from the store, since no other has handed them on." },
        { EventId::SpillShareChanged, EventLevel::Info, "spill_share_changed",
          "The share of a service's requests that may leave the data centre changed." },
        { EventId::SnapshotReceived, EventLevel::Info, "snapshot_received",
          "Another instance has handed on the newest records of a log." },
        { EventId::LogOutdated, EventLevel::Warning, "log_outdated",
          "There may be newer records of a log, or there no longer may." },
        { EventId::EndpointColdnessChanged, EventLevel::Info, "endpoint_coldness_changed",
          "An endpoint became cold, so that it gets few calls, or warm again." },
        { EventId::EvacuationsChanged, EventLevel::Warning, "evacuations_changed",
          "The data centres whose endpoints may not be called changed." },
        { EventId::EndpointFailureReported, EventLevel::Info, "endpoint_failure_reported",
          "This instance tells the others that an endpoint failed, or that it answers again." },
        { EventId::EndpointFailureApplied, EventLevel::Info, "endpoint_failure_applied",
          "Another instance's report changed whether an endpoint is avoided." },
        { EventId::FailureReporterDisbelieved, EventLevel::Warning, "failure_reporter_disbelieved",
          "An instance reports so many endpoints that its own connection is assumed faulty." },
        { EventId::StreamTakenUp, EventLevel::Info, "stream_taken_up",
          "A caller takes a stream up, which goes on at the software version that began it." },
        { EventId::StreamRejected, EventLevel::Warning, "stream_rejected",
          "A stream cannot go on: the version that began it is not known, or no longer serves." },
        { EventId::InstanceCutOff, EventLevel::Warning, "instance_cut_off",
          "No endpoint accepts a connection of this instance; its calls run through others." },
        { EventId::InstanceReachesAgain, EventLevel::Info, "instance_reaches_again",
          "An endpoint accepts connections of this instance again." },
        { EventId::RelayFailed, EventLevel::Warning, "relay_failed",
          "Another instance passed no call on to an endpoint; it is not asked for a while." },
    };
    return table;
}

const EventInfo &eventInfo(EventId id)
{
    for (const EventInfo &info : eventTable()) {
        if (info.id == id)
            return info;
    }
    std::abort();
}

void startLogging(const LogOptions &options)
{
    LogState &state = logState();
    const absl::MutexLock lock(&state.mutex);
    state.options = options;
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    const bool toOutput = options.sink == LogSink::StandardOutput;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(!toOutput, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        toOutput ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(options.level));
    if (toOutput && !state.writer)
        state.writer = std::make_shared<LogWriter>();
}

void flushLogging()
{
    std::shared_ptr<LogWriter> writer;
    {
        LogState &state = logState();
        const absl::MutexLock lock(&state.mutex);
        writer = std::move(state.writer);
        state.writer.reset();
    }
}

std::uint64_t droppedLogLines()
{
    LogState &state = logState();
    const absl::MutexLock lock(&state.mutex);
    return state.writer ? state.writer->dropped() : 0;
}

std::optional<EventLevel> eventLevelNamed(const std::string &name)
{
    for (const EventLevel level :
         { EventLevel::Debug, EventLevel::Info, EventLevel::Warning, EventLevel::Error }) {
        if (name == nameOf(level))
            return level;
    }
    return std::nullopt;
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    const EventInfo &info = eventInfo(id);
    LogState &state = logState();
    LogOptions options;
    std::shared_ptr<LogWriter> writer;
    {
        const absl::MutexLock lock(&state.mutex);
        options = state.options;
        writer = state.writer;
    }
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel level = toLog4cplus(info.level);
    if (!root.isEnabledFor(level))
        return;
    const bool json = options.format == LogFormat::Json;
    std::string line
        = json ? jsonLine(info, options, fields) : keyValueLine(info, options.instance, fields);
    if (writer)
        writer->write({ level, std::move(line) });
    else
        root.forcedLog(level, line);
}

} // namespace zinniadoor::base
