#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::daemon {

/// Figures of one completed model call.
struct AnswerStats
{
    base::OrganisationId organisation;
    std::string route;
    absl::Duration firstToken; ///< Time from arrival to the first token.
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    bool inTime = false; ///< First token within the deadline.
    bool reclaimable = false; ///< Completed on a reclaimable endpoint.
};

/// The daemon's Prometheus metrics. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countAnswer(const AnswerStats &stats);

    /// `reason`: name of the last reason. `withinRate`: the organisation was within its rate.
    void countRefusal(const base::OrganisationId &organisation, const std::string &reason,
                      bool withinRate);
    void countEndpointCall(const base::EndpointId &endpoint, bool complete);
    void countRetry();
    void countRoleOrder(const std::string &result);
    void countUsageReport(const std::string &result);
    void countLogAppend(bool ok, std::size_t bytes);
    void countPeerBytes(std::size_t bytes);
    void setActiveRequests(std::size_t running, std::size_t queued);
    void setBundleVersion(std::uint64_t version);
    void setReady(bool ready);
    void setEndpointPrice(const base::EndpointId &endpoint, bool reclaimable, double pricePerHour);

    /// Prometheus text exposition format.
    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace zinniadoor::daemon
