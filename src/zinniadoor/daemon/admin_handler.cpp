#include "zinniadoor/daemon/admin_handler.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"

namespace zinniadoor::daemon {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

void sendText(ports::CallerExchange &exchange, int status, std::string text)
{
    exchange.respond(status, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(text));
}

std::optional<base::EventLevel> parseLevel(const std::string &name)
{
    if (name == "debug")
        return base::EventLevel::Debug;
    if (name == "info")
        return base::EventLevel::Info;
    if (name == "warning")
        return base::EventLevel::Warning;
    if (name == "error")
        return base::EventLevel::Error;
    return std::nullopt;
}

} // namespace

AdminHandler::AdminHandler(Options options)
    : options_(std::move(options))
{ }

void AdminHandler::onRequest(std::shared_ptr<ports::CallerExchange> exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/livez")
        sendText(*exchange, StatusOk, "live\n");
    else if (path == "/readyz")
        sendReadiness(*exchange);
    else if (path == "/metrics")
        sendText(*exchange, StatusOk, options_.metrics.text());
    else if (path == "/status")
        sendStatus(*exchange);
    else if (path == "/burn")
        exchange->respond(StatusOk, { { "Content-Type", "application/json" } },
                          options_.burn.json());
    else if (path == "/log_level" && exchange->request().method == "PUT")
        setLogLevel(*exchange);
    else
        sendText(*exchange, StatusNotFound, "no such path\n");
}

void AdminHandler::onProgress(const std::shared_ptr<ports::CallerExchange> &) { }

void AdminHandler::sendReadiness(ports::CallerExchange &exchange) const
{
    const CoreStatus status = options_.status();
    if (status.readiness.ready)
        sendText(exchange, StatusOk, "ready\n");
    else
        sendText(exchange, StatusUnavailable, status.readiness.reason + "\n");
}

void AdminHandler::sendStatus(ports::CallerExchange &exchange) const
{
    const CoreStatus status = options_.status();
    const nlohmann::json body
        = { { "ready", status.readiness.ready },        { "reason", status.readiness.reason },
            { "bundle_version", status.bundleVersion }, { "bundle_digest", status.bundleDigest },
            { "log_offset", status.logOffset },         { "log_current", status.logCurrent },
            { "share_slots", status.shareSlots },       { "requests", status.requests } };
    exchange.respond(StatusOk, { { "Content-Type", "application/json" } }, body.dump());
}

void AdminHandler::setLogLevel(ports::CallerExchange &exchange)
{
    const std::string name(absl::StripAsciiWhitespace(exchange.request().body));
    const std::optional<base::EventLevel> level = parseLevel(name);
    if (!level) {
        sendText(exchange, StatusBadRequest, "the body is not debug, info, warning or error\n");
        return;
    }
    options_.log.level = *level;
    base::startLogging(options_.log);
    sendText(exchange, StatusOk, name + "\n");
}

} // namespace zinniadoor::daemon
