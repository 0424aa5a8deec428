#pragma once

#include <functional>
#include <memory>

#include "zinniadoor/daemon/core.hpp"
#include "zinniadoor/daemon/metrics.hpp"
#include "zinniadoor/ports/caller_server.hpp"

namespace zinniadoor::daemon {

/// Serves /livez, /readyz, /metrics, /status, /burn and PUT /log_level.
class AdminHandler : public ports::CallerHandler
{
public:
    struct Options
    {
        const Metrics &metrics;
        const BurnRecorder &burn;
        std::function<CoreStatus()> status;
        base::LogOptions log;
    };

    explicit AdminHandler(Options options);

    void onRequest(std::shared_ptr<ports::CallerExchange> exchange) override;
    void onProgress(const std::shared_ptr<ports::CallerExchange> &exchange) override;

private:
    void sendReadiness(ports::CallerExchange &exchange) const;
    void sendStatus(ports::CallerExchange &exchange) const;
    void setLogLevel(ports::CallerExchange &exchange);

    Options options_;
};

} // namespace zinniadoor::daemon
