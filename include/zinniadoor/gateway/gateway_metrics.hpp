#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/gateway/dialects.hpp"

namespace zinniadoor::gateway {

/// Counters and latency histograms in the Prometheus text format.
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();

    void countRequest(const std::string &outcome);
    void countRefusal(RefusalKind kind);
    void countEndpointFailure(const char *error);
    void countFailureReport(const char *effect); ///< Of an endpoint, sent or received.
    void countRetry();
    void countRetryWithoutBudget(); ///< Also counted as a retry.
    void countAdmissionTrial(); ///< Sent although expected too late.
    void countInboundRefusal(const char *reason);

    /// Bytes of a request's body, or of its answer, to or from another data centre.
    void countSpilledRequest(std::size_t bytes);
    void countSpilledAnswer(std::size_t bytes);
    /// `age`: since all records of the log were last known to have been applied.
    void setLogAge(const char *log, absl::Duration age);

    /// Of a stream that its caller takes up, or that cannot go on.
    void countTakeUp(const char *outcome, const char *source);
    void countStoreFailure(const char *call);
    void countLogRead(const char *log, const char *cause);
    void countDroppedLogBytes(const char *log, std::size_t bytes); ///< Of reads that failed.
    void observeFirstByte(absl::Duration time);
    void observeDuration(absl::Duration time);
    void observeLogPartWait(absl::Duration time);
    void setReady(bool ready);
    void setConfigurationVersion(std::uint64_t version);
    void setEndpoints(std::size_t count);
    void setColdEndpoints(std::size_t count);
    void setCutOff(bool isCutOff); ///< From all endpoints.
    void setRelayedConnections(std::size_t count); ///< Passed on for other instances.
    void setEvacuations(std::size_t dataCentres);
    void setDroppedLogLines(std::uint64_t count);

    /// Exposition text for a scrape.
    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace zinniadoor::gateway
