#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "gateway_process.hpp"
#include "http_client.hpp"
#include "standins/fleet_standin.hpp"

namespace zinniadoor::e2e {

/// Two gateways with a stand-in of the platform that lists two endpoints.
struct GatewayFixture
{
    GatewayFixture()
    {
        platform.addEndpoint("p1", "plain", "ready");
        platform.addEndpoint("p2", "plain", "ready");
        publish(1, { "key-1", "key-2" });
        for (const char *name : { "gw-0", "gw-1" })
            gateways.push_back(std::make_unique<GatewayProcess>(name, platform.storeAddress(),
                                                                platform.dutiesAddress()));
        for (const auto &gateway : gateways)
            BOOST_REQUIRE(waitUntil([&] { return gateway->ready() == 200; }));
    }

    /// Publishes a configuration with the usual routes and `extraRoutes`.
    void publish(int version, const std::vector<std::string> &keys,
                 const std::vector<std::string> &extraRoutes = {})
    {
        publishWith(version, nlohmann::json::array({ { { "Name", "shop" }, { "ApiKeys", keys } } }),
                    extraRoutes);
    }

    /// The same with any value as the list of organisations.
    void publishWith(int version, const nlohmann::json &organisations,
                     const std::vector<std::string> &extraRoutes = {})
    {
        nlohmann::json routes = nlohmann::json::array();
        std::vector<std::string> paths = { "/once/", "/again/", "/stream/" };
        paths.insert(paths.end(), extraRoutes.begin(), extraRoutes.end());
        for (const std::string &path : paths) {
            const std::string type = path == "/once/" ? "non_idempotent"
                : path == "/stream/"                  ? "streaming"
                                                      : "idempotent";
            routes.push_back({ { "Name", path },
                               { "Host", "h" },
                               { "PathPrefix", path },
                               { "RouteType", type },
                               { "TimeoutMs", 20000 },
                               { "TargetLatencyMs", 20000 },
                               { "MaxAttempts", 2 },
                               { "Service", "plain" } });
        }
        const nlohmann::json configuration
            = { { "Version", version },
                { "Routes", routes },
                { "Services", nlohmann::json::array({ { { "Name", "plain" } } }) },
                { "Tenants", organisations } };
        platform.publish(configuration.dump());
    }

    HttpResponse sendRequest(std::size_t gateway, const std::string &path,
                             const std::string &key = "key-1")
    {
        HttpRequest request;
        request.method = "POST";
        request.url = gateways[gateway]->url(path);
        request.headers = { "Host: h", absl::StrCat("X-Zinniadoor-Request-Id: r", ++requests),
                            absl::StrCat("Authorization: Bearer ", key) };
        request.body = "question";
        return call(request);
    }

    /// Requests of the organisation that were reported as usage. Nothing if a window was reported
    /// with two different counts.
    std::optional<std::uint64_t> reportedUsage()
    {
        std::map<std::uint64_t, std::string> windows;
        std::uint64_t sum = 0;
        for (const standins::DutyCall &call : platform.dutyCalls()) {
            if (call.path != "/usage")
                continue;
            const nlohmann::json body = nlohmann::json::parse(call.body);
            const std::string counts = body["Counts"].dump();
            const auto [it, inserted] = windows.try_emplace(body["WindowId"], counts);
            if (it->second != counts)
                return std::nullopt;
            if (inserted)
                sum += body["Counts"].value("shop", 0);
        }
        return sum;
    }

    standins::FleetStandin platform;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    int requests = 0;
};

} // namespace zinniadoor::e2e
