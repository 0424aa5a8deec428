#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "standins/log_store_standin.hpp"
#include "zinniadoor/net/http_server.hpp"

namespace zinniadoor::standins {

/// A usage report or order received by the platform.
struct DutyCall
{
    std::string path;
    std::string holder;
    std::uint64_t fencingNumber = 0;
    std::string body;
};

/// A request received by an endpoint.
struct EndpointCall
{
    std::string endpoint;
    std::string requestId;
    std::string path;
    std::map<std::string, std::string> fields; ///< Headers; names in lower case.
};

/// In-process stand-in for the operators' platform: log store, HTTP interface for usage reports
/// and orders, and endpoints. Runs on its own event thread. Endpoints respond to `/stream...` and
/// `/resume...` with an event stream, from the event after `Last-Event-Id` on, and to other paths
/// with a short body.
class FleetStandin
{
public:
    FleetStandin();
    ~FleetStandin();
    FleetStandin(const FleetStandin &) = delete;
    FleetStandin &operator=(const FleetStandin &) = delete;

    std::string storeAddress() const;
    std::string dutiesAddress() const;

    /// Starts an endpoint without listing it; returns its IP:port.
    std::string startEndpoint(const std::string &id);

    /// Starts an endpoint and lists it.
    void addEndpoint(const std::string &id, const std::string &service, const std::string &state);

    /// Lists an endpoint under `address`, or its actual address if empty. `startTimeMs`: of its
    /// process, Unix milliseconds; not named if 0.
    void listEndpoint(const std::string &id, const std::string &service, const std::string &state,
                      const std::string &address = "", std::uint64_t startTimeMs = 0);
    void unlistEndpoint(const std::string &id);

    /// The software version that the endpoint's events name from now on, and its record from the
    /// next listing on; none if empty.
    void setVersion(const std::string &id, const std::string &version);

    /// Closes the endpoint and all of its connections, without a change of its record.
    void crashEndpoint(const std::string &id);
    void publish(const std::string &configuration);

    /// While unavailable, the store responds to every request with 503.
    void setStoreUnavailable(bool unavailable);
    void setStoreState(StoreState state);

    /// What all callers of the store share; without limits until it is called.
    void setStoreLimits(const StoreLimits &limits);

    /// Reads that the store has processed since its start, by topic.
    std::map<std::string, StoreWork> storeWork();

    /// Saves the contents of the store for `restoreStore`.
    void copyStore();

    /// Restores the store from the last copy, which starts its next era. All responses of the store
    /// name its era.
    void restoreStore();

    /// Every n-th append is executed but gets no response; 0: none.
    void setLostAppendInterval(int interval);

    /// Sets the number of events per stream and the interval between them.
    void configureStreams(int events, std::chrono::milliseconds pause);

    std::vector<DutyCall> dutyCalls();
    std::vector<EndpointCall> endpointCalls();

private:
    struct Impl;
    void runOnEventThread(const std::function<void()> &action);

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<Impl> impl_;
    std::thread thread_;
};

} // namespace zinniadoor::standins
