#pragma once

#include <cstddef>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway_process.hpp"
#include "http_client.hpp"
#include "soak/fault_proxy.hpp"
#include "standins/fleet_standin.hpp"

namespace zinniadoor::e2e {

struct Stream
{
    std::string id; ///< Of the request that began it.
    std::string service;
    std::string version; ///< That the first event named.
};

using Streams = std::vector<Stream>;
using Instances = std::vector<std::size_t>;
using HttpResponses = std::vector<std::future<HttpResponse>>; ///< In the order of their streams.

/// Gateways whose callers take streams up at any of them, with a platform whose services get
/// endpoints of further software versions.
class TakeUpFleet
{
public:
    static constexpr std::size_t InstanceCount = 6; // A stream's four keepers are not all others.

    enum class Rule {
        GoesOn, ///< At its version.
        MayBeRejected,
    };

    explicit TakeUpFleet(const std::vector<std::string> &services);

    void start();

    /// Starts endpoints and lists them.
    void list(const std::string &service, const std::string &version, int endpoints);

    /// Lists the service's endpoints again without a change, as the platform does.
    void renew(const std::string &service);

    /// Waits until a stream that nobody knows goes on there, at the only version that was listed.
    void awaitTrustInList(std::size_t instance, const std::string &service);

    standins::FleetStandin &platform() { return platform_; }
    GatewayProcess &gateway(std::size_t instance) { return *gateways_[instance]; }

    void freeze(const Instances &instances);
    void thaw(const Instances &instances);
    void cutFromStore(std::size_t instance);
    void restoreStoreLink(std::size_t instance);

    /// Lets all instances run and have their links.
    void recover();

    /// Begins streams through these instances until there are enough of the version. Each caller
    /// leaves before the end.
    Streams begin(const Instances &instances, const std::string &service,
                  const std::string &version);

    HttpResponse takeUp(std::size_t instance, const Stream &stream);

    /// Take-ups at the same time. They lie in the sockets of an instance that stands still.
    HttpResponses sendTakeUps(std::size_t instance, const Streams &streams);

    void check(std::size_t instance, const Stream &stream, const HttpResponse &response, Rule rule);
    void check(std::size_t instance, const Streams &streams, HttpResponses &responses, Rule rule);
    void checkTakeUps(std::size_t instance, const Streams &streams, Rule rule);

private:
    void publish();
    std::string newId();
    HttpRequest newRequest(std::size_t instance, const std::string &service, const std::string &id);
    HttpRequest takeUpRequest(std::size_t instance, const Stream &stream);
    std::string describe(std::size_t instance, const Stream &stream, const HttpResponse &response);

    std::vector<std::string> services_;
    std::map<std::string, std::vector<std::string>> listed_; ///< Endpoints by service.
    standins::FleetStandin platform_;
    std::vector<std::unique_ptr<soak::FaultProxy>> storeLinks_; ///< By instance, as `gateways_`.
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    int requests_ = 0;
};

} // namespace zinniadoor::e2e
