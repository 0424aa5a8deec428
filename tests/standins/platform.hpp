#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "platform_log.hpp"
#include "standin.hpp"

namespace zinniadoor::standins {

struct PlatformOptions
{
    PlatformLog::Options log;
    std::int64_t appendDelayMs = 0; ///< Half before an append is executed, half after.
    std::int64_t listLagMs = 0; ///< Staleness of the instance list.
    bool enforceFencing = true; ///< Reject endpoint orders with a stale fencing number.
    std::int64_t weightBytes = 1024;
    std::int64_t weightsPerSecond = 0; ///< Rate of weight downloads; 0: unlimited.
};

/// Stand-in for the platform: log, instance list, endpoint interface, billing, weight store.
class Platform : public Standin
{
public:
    explicit Platform(const PlatformOptions &options);

protected:
    Response serve(const Call &call) override;
    nlohmann::json received(const Request &request) override;
    bool isRecorded(const Request &request) const override;

private:
    struct ListedInstance
    {
        std::string id;
        std::string dataCentre;
        std::string state;
    };

    struct InstanceListVersion
    {
        std::int64_t atMs = 0;
        std::vector<ListedInstance> instances;
    };

    struct EndpointOrder
    {
        std::string kind;
        std::string dataCentre;
        std::string endpoint;
        std::uint64_t fencing = 0;
        std::int64_t atMs = 0;
        int outcome = 0; ///< HTTP status.
    };

    struct UsageTotals
    {
        std::uint64_t requests = 0;
        std::uint64_t promptTokens = 0;
        std::uint64_t outputTokens = 0;

        bool operator==(const UsageTotals &other) const
        {
            return requests == other.requests && promptTokens == other.promptTokens
                && outputTokens == other.outputTokens;
        }
    };

    struct BillingReport
    {
        std::string organisation;
        std::int64_t window = 0;
        UsageTotals totals;
        std::uint64_t fencing = 0;
        std::int64_t atMs = 0;
        int outcome = 0; ///< HTTP status.
    };

    Response appendRecord(const Request &request);
    Response readRecords(const Request &request);
    Response listInstances();
    Response setInstances(const Request &request);
    Response handleEndpointOrder(const Request &request);
    Response handleBillingReport(const Request &request);
    Response serveWeights(const Request &request);

    const PlatformOptions options_;
    PlatformLog log_;
    std::mutex mutex_;
    /// Oldest first; the front is the version to serve.
    std::deque<InstanceListVersion> listVersions_;
    std::deque<EndpointOrder> orders_;
    std::map<std::string, std::uint64_t> highestFencingNumber_; ///< By data centre.
    std::deque<BillingReport> reports_;
    std::map<std::pair<std::string, std::int64_t>, UsageTotals> billedUsage_;
    std::int64_t nextWeightsMs_ = 0;
};

} // namespace zinniadoor::standins
