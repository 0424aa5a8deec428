#include "zinniadoor/gateway/gateway_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace zinniadoor::gateway {

namespace {

/// Upper bounds in seconds; cover objectives of 0.1 s to 1.2 s and timeouts of several seconds.
const prometheus::Histogram::BucketBoundaries LatencyBounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.4,
                                                              0.6,  0.8,   1.2,  2.0, 3.0, 5.0 };

} // namespace

struct GatewayMetrics::Impl
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests = prometheus::BuildCounter()
                                                            .Name("zinniadoor_requests_total")
                                                            .Help("Requests by outcome.")
                                                            .Register(registry);
    prometheus::Family<prometheus::Counter> &refusals
        = prometheus::BuildCounter()
              .Name("zinniadoor_refusals_total")
              .Help("Requests answered by this instance itself, by reason.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &endpointFailures
        = prometheus::BuildCounter()
              .Name("zinniadoor_endpoint_failures_total")
              .Help("Calls to endpoints without a whole answer, by error.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &failureReports
        = prometheus::BuildCounter()
              .Name("zinniadoor_failure_reports_total")
              .Help("Reports of failed endpoints, sent or by their effect.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &storeFailures
        = prometheus::BuildCounter()
              .Name("zinniadoor_platform_failures_total")
              .Help("Calls to the platform that failed, by call.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &inboundRefusals
        = prometheus::BuildCounter()
              .Name("zinniadoor_inbound_refusals_total")
              .Help("Requests refused and connections closed to save memory or descriptors.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &logReads
        = prometheus::BuildCounter()
              .Name("zinniadoor_log_reads_total")
              .Help("Reads of the logs of configuration and endpoints, by log and cause.")
              .Register(registry);
    prometheus::Family<prometheus::Gauge> &logAges
        = prometheus::BuildGauge()
              .Name("zinniadoor_log_age_seconds")
              .Help("Time since all records of a log were last known to be in force here.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &takeUps
        = prometheus::BuildCounter()
              .Name("zinniadoor_stream_take_ups_total")
              .Help("Streams that go on or are rejected, by where their version was known from.")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &droppedLogBytes
        = prometheus::BuildCounter()
              .Name("zinniadoor_log_bytes_dropped_total")
              .Help("Bytes received by reads of logs that failed, by log.")
              .Register(registry);
    prometheus::Counter &retries = prometheus::BuildCounter()
                                       .Name("zinniadoor_retries_total")
                                       .Help("Sendings of a request to a further endpoint.")
                                       .Register(registry)
                                       .Add({});
    prometheus::Counter &retriesWithoutBudget
        = prometheus::BuildCounter()
              .Name("zinniadoor_retries_without_budget_total")
              .Help("Retries after attempts that reached no endpoint.")
              .Register(registry)
              .Add({});
    prometheus::Counter &admissionTrials
        = prometheus::BuildCounter()
              .Name("zinniadoor_admission_trials_total")
              .Help("Requests sent although their answers were expected too late.")
              .Register(registry)
              .Add({});
    prometheus::Counter &spilledRequests
        = prometheus::BuildCounter()
              .Name("zinniadoor_spilled_requests_total")
              .Help("Sendings of a request to an endpoint in another data centre.")
              .Register(registry)
              .Add({});
    prometheus::Counter &spilledBytes
        = prometheus::BuildCounter()
              .Name("zinniadoor_spilled_bytes_total")
              .Help("Bytes of bodies and answers to and from other data centres.")
              .Register(registry)
              .Add({});
    prometheus::Histogram &firstByte = prometheus::BuildHistogram()
                                           .Name("zinniadoor_first_byte_seconds")
                                           .Help("Time to the first byte of answers.")
                                           .Register(registry)
                                           .Add({}, LatencyBounds);
    prometheus::Histogram &duration = prometheus::BuildHistogram()
                                          .Name("zinniadoor_request_seconds")
                                          .Help("Time to the end of requests.")
                                          .Register(registry)
                                          .Add({}, LatencyBounds);
    prometheus::Histogram &logPartWait
        = prometheus::BuildHistogram()
              .Name("zinniadoor_log_part_wait_seconds")
              .Help("Time that datagrams with parts of logs waited to be sent.")
              .Register(registry)
              .Add({}, LatencyBounds);
    prometheus::Gauge &ready = gauge("zinniadoor_ready", "1 while new callers are welcome.");
    prometheus::Gauge &version
        = gauge("zinniadoor_configuration_version", "Version of the configuration in force.");
    prometheus::Gauge &endpoints = gauge("zinniadoor_endpoints", "Endpoints listed.");
    prometheus::Gauge &cold
        = gauge("zinniadoor_cold_endpoints", "Endpoints that get few calls, being cold.");
    prometheus::Gauge &cutOff
        = gauge("zinniadoor_cut_off", "1 while no endpoint accepts a connection of this instance.");
    prometheus::Gauge &relayedConnections
        = gauge("zinniadoor_relayed_connections", "Connections to endpoints passed on for others.");
    prometheus::Gauge &evacuations
        = gauge("zinniadoor_evacuated_data_centres", "Data centres that get no calls.");
    prometheus::Gauge &droppedLines
        = gauge("zinniadoor_log_lines_dropped", "Log lines dropped since the start.");

    prometheus::Gauge &gauge(const char *name, const char *help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }
};

GatewayMetrics::GatewayMetrics()
    : impl_(std::make_unique<Impl>())
{ }

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::countRequest(const std::string &outcome)
{
    impl_->requests.Add({ { "outcome", outcome } }).Increment();
}

void GatewayMetrics::countRefusal(RefusalKind kind)
{
    impl_->refusals.Add({ { "reason", nameOf(kind) } }).Increment();
}

void GatewayMetrics::countEndpointFailure(const char *error)
{
    impl_->endpointFailures.Add({ { "error", error } }).Increment();
}

void GatewayMetrics::countFailureReport(const char *effect)
{
    impl_->failureReports.Add({ { "effect", effect } }).Increment();
}

void GatewayMetrics::countRetry()
{
    impl_->retries.Increment();
}

void GatewayMetrics::countRetryWithoutBudget()
{
    impl_->retriesWithoutBudget.Increment();
}

void GatewayMetrics::countAdmissionTrial()
{
    impl_->admissionTrials.Increment();
}

void GatewayMetrics::countInboundRefusal(const char *reason)
{
    impl_->inboundRefusals.Add({ { "reason", reason } }).Increment();
}

void GatewayMetrics::countSpilledRequest(std::size_t bytes)
{
    impl_->spilledRequests.Increment();
    impl_->spilledBytes.Increment(static_cast<double>(bytes));
}

void GatewayMetrics::countSpilledAnswer(std::size_t bytes)
{
    impl_->spilledBytes.Increment(static_cast<double>(bytes));
}

void GatewayMetrics::countStoreFailure(const char *call)
{
    impl_->storeFailures.Add({ { "call", call } }).Increment();
}

void GatewayMetrics::countLogRead(const char *log, const char *cause)
{
    impl_->logReads.Add({ { "log", log }, { "cause", cause } }).Increment();
}

void GatewayMetrics::setLogAge(const char *log, absl::Duration age)
{
    impl_->logAges.Add({ { "log", log } }).Set(absl::ToDoubleSeconds(age));
}

void GatewayMetrics::countTakeUp(const char *outcome, const char *source)
{
    impl_->takeUps.Add({ { "outcome", outcome }, { "source", source } }).Increment();
}

void GatewayMetrics::countDroppedLogBytes(const char *log, std::size_t bytes)
{
    impl_->droppedLogBytes.Add({ { "log", log } }).Increment(static_cast<double>(bytes));
}

void GatewayMetrics::observeFirstByte(absl::Duration time)
{
    impl_->firstByte.Observe(absl::ToDoubleSeconds(time));
}

void GatewayMetrics::observeDuration(absl::Duration time)
{
    impl_->duration.Observe(absl::ToDoubleSeconds(time));
}

void GatewayMetrics::observeLogPartWait(absl::Duration time)
{
    impl_->logPartWait.Observe(absl::ToDoubleSeconds(time));
}

void GatewayMetrics::setReady(bool ready)
{
    impl_->ready.Set(ready ? 1 : 0);
}

void GatewayMetrics::setConfigurationVersion(std::uint64_t version)
{
    impl_->version.Set(static_cast<double>(version));
}

void GatewayMetrics::setEndpoints(std::size_t count)
{
    impl_->endpoints.Set(static_cast<double>(count));
}

void GatewayMetrics::setColdEndpoints(std::size_t count)
{
    impl_->cold.Set(static_cast<double>(count));
}

void GatewayMetrics::setCutOff(bool isCutOff)
{
    impl_->cutOff.Set(isCutOff ? 1 : 0);
}

void GatewayMetrics::setRelayedConnections(std::size_t count)
{
    impl_->relayedConnections.Set(static_cast<double>(count));
}

void GatewayMetrics::setEvacuations(std::size_t dataCentres)
{
    impl_->evacuations.Set(static_cast<double>(dataCentres));
}

void GatewayMetrics::setDroppedLogLines(std::uint64_t count)
{
    impl_->droppedLines.Set(static_cast<double>(count));
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace zinniadoor::gateway
