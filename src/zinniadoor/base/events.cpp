#include "zinniadoor/base/events.hpp"

#include <cstdlib>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace zinniadoor::base {

namespace {

struct LogState
{
    log4cplus::Initializer initializer;
    absl::Mutex mutex;
    LogOptions options;
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

std::string jsonLine(const EventInfo &info, const std::string &instance,
                     std::initializer_list<EventField> fields)
{
    using Json = nlohmann::json;
    Json line = { { "event", static_cast<int>(info.id) }, { "name", info.name } };
    if (!instance.empty())
        line["instance"] = instance;
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
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p %m%n"));
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(options.level));
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    const EventInfo &info = eventInfo(id);
    LogState &state = logState();
    LogOptions options;
    {
        const absl::MutexLock lock(&state.mutex);
        options = state.options;
    }
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel level = toLog4cplus(info.level);
    if (!root.isEnabledFor(level))
        return;
    const bool json = options.format == LogFormat::Json;
    root.forcedLog(level,
                   json ? jsonLine(info, options.instance, fields)
                        : keyValueLine(info, options.instance, fields));
}

} // namespace zinniadoor::base
