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

/// Lines kept for the writing thread: a few seconds of a busy instance.
constexpr std::size_t LogRingLines = 8192;

/// Longest wait of the writing thread before it looks for its end.
constexpr absl::Duration WriterPoll = absl::Seconds(1);

/// Writes lines on a thread of its own.
class LogWriter
{
public:
    LogWriter()
        : ring_(LogRingLines)
        , thread_([this] { run(); })
    { }
    ~LogWriter()
    {
        ending_.store(true);
        ring_.wake();
        thread_.join();
    }
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    void write(LogLine line)
    {
        if (!ring_.tryPush(std::move(line)))
            dropped_.fetch_add(1);
    }
    std::uint64_t dropped() const { return dropped_.load(); }

private:
    void run()
    {
        while (true) {
            if (auto line = ring_.pop(WriterPoll))
                log4cplus::Logger::getRoot().forcedLog(line->level, line->text);
            else if (ending_.load())
                return;
        }
    }

    Ring<LogLine> ring_;
    std::atomic<std::uint64_t> dropped_ { 0 };
    std::atomic<bool> ending_ { false };
    std::thread thread_;
};

struct LogState
{
    log4cplus::Initializer initializer;
    absl::Mutex mutex;
    LogOptions options;
    std::shared_ptr<LogWriter> writer;
};

// Never destroyed: threads may log while the process exits.
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
    if (options.sink == LogSink::StandardOutput) { // The other sink's layout writes both itself.
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
        { EventId::BundleApplied, EventLevel::Info, "bundle_applied",
          "A configuration version came into force." },
        { EventId::BundleRejected, EventLevel::Warning, "bundle_rejected",
          "A published bundle did not count; the reason says why." },
        { EventId::KeyWithdrawn, EventLevel::Info, "key_withdrawn",
          "A key was withdrawn; its streams are cut." },
        { EventId::LeaseGained, EventLevel::Info, "lease_gained",
          "This instance now holds a lease." },
        { EventId::LeaseLost, EventLevel::Warning, "lease_lost",
          "This instance no longer holds a lease." },
        { EventId::SnapshotLoaded, EventLevel::Info, "snapshot_loaded",
          "The state was loaded from a snapshot in the log." },
        { EventId::PeerStateAdopted, EventLevel::Info, "peer_state_adopted",
          "The state was taken from another instance, as the log could not be read." },
        { EventId::LogReadFailed, EventLevel::Warning, "log_read_failed",
          "The platform's log could not be read." },
        { EventId::LogAppendFailed, EventLevel::Warning, "log_append_failed",
          "An append to the platform's log failed or its answer was lost." },
        { EventId::HttpServerFailed, EventLevel::Error, "http_server_failed",
          "A listening address could not be opened." },
        { EventId::DaemonStarted, EventLevel::Info, "daemon_started", "All threads run." },
        { EventId::DaemonStopping, EventLevel::Info, "daemon_stopping",
          "A planned stop began; no new work is taken." },
        { EventId::DaemonStopped, EventLevel::Info, "daemon_stopped",
          "The planned stop is complete." },
        { EventId::SettingsRejected, EventLevel::Error, "settings_rejected",
          "The settings file has faults; nothing was started." },
        { EventId::ReadinessChanged, EventLevel::Info, "readiness_changed",
          "The readiness check changed its answer." },
        { EventId::GatewayStarted, EventLevel::Info, "gateway_started",
          "The gateway listens; it is not ready yet." },
        { EventId::GatewayStopping, EventLevel::Info, "gateway_stopping",
          "A planned stop began; requests under way are finished." },
        { EventId::GatewayStopped, EventLevel::Info, "gateway_stopped",
          "The planned stop is complete." },
        { EventId::SettingsReloaded, EventLevel::Info, "settings_reloaded",
          "The settings file was read again." },
        { EventId::SettingsReloadFailed, EventLevel::Warning, "settings_reload_failed",
          "The changed settings file has faults; the settings in force stay." },
        { EventId::GatewayFailed, EventLevel::Error, "gateway_failed",
          "The gateway could not start; the process ends." },
        { EventId::ConfigurationApplied, EventLevel::Info, "configuration_applied",
          "A version of the operators' configuration came into force." },
        { EventId::ConfigurationRejected, EventLevel::Warning, "configuration_rejected",
          "A configuration could not be read or is older; the one in force stays." },
        { EventId::EndpointsChanged, EventLevel::Info, "endpoints_changed",
          "The list of endpoints changed." },
        { EventId::EndpointRecordRejected, EventLevel::Warning, "endpoint_record_rejected",
          "A record of the endpoints' list could not be read; it names no endpoint." },
        { EventId::EndpointSuspected, EventLevel::Warning, "endpoint_suspected",
          "Calls to an endpoint failed in a row; it gets no work for a while." },
        { EventId::EndpointLeaving, EventLevel::Info, "endpoint_leaving",
          "An endpoint said in an answer that it is about to end; it gets nothing new." },
        { EventId::EndpointRests, EventLevel::Debug, "endpoint_rests",
          "An endpoint turned a request away and asked for a rest; it gets nothing until its "
          "end." },
        { EventId::DependencyLost, EventLevel::Warning, "dependency_lost",
          "A service of the platform does not answer." },
        { EventId::DependencyRegained, EventLevel::Info, "dependency_regained",
          "A service of the platform answers again." },
        { EventId::RequestDispatched, EventLevel::Info, "request_dispatched",
          "A request was sent to an endpoint; the fields are what decided the choice." },
        { EventId::PromptReadFailed, EventLevel::Warning, "prompt_read_failed",
          "An endpoint did not read a prompt for another one." },
        { EventId::CallFailed, EventLevel::Warning, "call_failed",
          "A sending of a request brought no answer; the decision says what follows." },
        { EventId::RequestEnded, EventLevel::Info, "request_ended",
          "A request got its final answer, or its caller left." },
        { EventId::DutyLeaseGained, EventLevel::Info, "duty_lease_gained",
          "This instance now does the duties towards the platform." },
        { EventId::DutyLeaseLost, EventLevel::Warning, "duty_lease_lost",
          "This instance no longer does the duties." },
        { EventId::UsageReported, EventLevel::Info, "usage_reported",
          "The usage of a window was reported." },
        { EventId::UsageReportFailed, EventLevel::Warning, "usage_report_failed",
          "A usage report was not accepted or its answer was lost." },
        { EventId::FleetOrdered, EventLevel::Info, "fleet_ordered",
          "A number of endpoints was ordered." },
        { EventId::FleetOrderFailed, EventLevel::Warning, "fleet_order_failed",
          "An order of endpoints was not accepted or its answer was lost." },
        { EventId::StageOrdered, EventLevel::Info, "stage_ordered",
          "An engine was ordered to read prompts or to write answers." },
        { EventId::StageOrderFailed, EventLevel::Warning, "stage_order_failed",
          "An engine did not take an order, or its answer was lost." },
        { EventId::PeerFound, EventLevel::Info, "peer_found", "Another instance is heard." },
        { EventId::PeerLost, EventLevel::Warning, "peer_lost",
          "Another instance has not been heard for a while." },
        { EventId::PeerMessageRejected, EventLevel::Warning, "peer_message_rejected",
          "A peer's message could not be read." },
        { EventId::LogReaderChanged, EventLevel::Info, "log_reader_changed",
          "This instance begins to read a log for its data centre, or another one does." },
        { EventId::PeerLeaderChanged, EventLevel::Info, "peer_leader_changed",
          "Another instance sums up the news of this data centre, as this instance sees it." },
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
