#include "zinniadoor/daemon/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace zinniadoor::daemon {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;

CounterFamily &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

GaugeFamily &gauges(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

const prometheus::Histogram::BucketBoundaries FirstTokenSeconds { 0.05, 0.1,  0.2, 0.3, 0.5, 0.8,
                                                                  1.1,  1.75, 2.5, 5,   10,  30 };

} // namespace

struct Metrics::Impl
{
    prometheus::Registry registry;
    CounterFamily &answers = counters(registry, "zinniadoor_answers_total",
                                      "Whole answers, by organisation, route and whether in time.");
    CounterFamily &tokens = counters(registry, "zinniadoor_tokens_total",
                                     "Tokens of whole answers, by organisation and kind.");
    CounterFamily &answersByClass
        = counters(registry, "zinniadoor_answers_by_endpoint_class_total",
                   "Whole answers finished on reclaimable and on standing endpoints.");
    CounterFamily &refusals = counters(registry, "zinniadoor_refusals_total",
                                       "Refused requests, by organisation and last reason.");
    CounterFamily &refusalsWithinRate
        = counters(registry, "zinniadoor_refusals_within_rate_total",
                   "Requests refused although within the organisation's rate.");
    CounterFamily &calls = counters(registry, "zinniadoor_endpoint_calls_total",
                                    "Calls to endpoints, by endpoint and result.");
    CounterFamily &retries = counters(registry, "zinniadoor_endpoint_retries_total",
                                      "Calls that repeat a failed one.");
    CounterFamily &roleOrders
        = counters(registry, "zinniadoor_role_orders_total", "Role changes ordered, by result.");
    CounterFamily &reports = counters(registry, "zinniadoor_usage_reports_total",
                                      "Usage reports to billing, by result.");
    CounterFamily &appends
        = counters(registry, "zinniadoor_log_appends_total", "Frames appended, by result.");
    CounterFamily &appendBytes
        = counters(registry, "zinniadoor_log_append_bytes_total", "Bytes of the frames appended.");
    CounterFamily &peerBytes
        = counters(registry, "zinniadoor_peer_sent_bytes_total", "Bytes sent to other instances.");
    GaugeFamily &active
        = gauges(registry, "zinniadoor_active_requests", "Requests held now, by phase.");
    GaugeFamily &version
        = gauges(registry, "zinniadoor_bundle_version", "Configuration version in force.");
    GaugeFamily &ready = gauges(registry, "zinniadoor_ready", "1 while the instance takes work.");
    GaugeFamily &price = gauges(registry, "zinniadoor_endpoint_price_per_hour",
                                "Price of each configured endpoint, by class.");
    HistogramFamily &firstToken = prometheus::BuildHistogram()
                                      .Name("zinniadoor_first_token_seconds")
                                      .Help("Time from arrival to the first token, by route.")
                                      .Register(registry);
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{ }

Metrics::~Metrics() = default;

void Metrics::countAnswer(const AnswerStats &stats)
{
    const std::string &organisation = stats.organisation.str();
    impl_->answers
        .Add({ { "organisation", organisation },
               { "route", stats.route },
               { "in_time", stats.inTime ? "true" : "false" } })
        .Increment();
    impl_->tokens.Add({ { "organisation", organisation }, { "kind", "prompt" } })
        .Increment(static_cast<double>(stats.promptTokens));
    impl_->tokens.Add({ { "organisation", organisation }, { "kind", "output" } })
        .Increment(static_cast<double>(stats.outputTokens));
    impl_->answersByClass.Add({ { "class", stats.reclaimable ? "reclaimable" : "standing" } })
        .Increment();
    impl_->firstToken.Add({ { "route", stats.route } }, FirstTokenSeconds)
        .Observe(absl::ToDoubleSeconds(stats.firstToken));
}

void Metrics::countRefusal(const base::OrganisationId &organisation, const std::string &reason,
                           bool withinRate)
{
    impl_->refusals.Add({ { "organisation", organisation.str() }, { "reason", reason } })
        .Increment();
    if (withinRate)
        impl_->refusalsWithinRate.Add({ { "organisation", organisation.str() } }).Increment();
}

void Metrics::countEndpointCall(const base::EndpointId &endpoint, bool complete)
{
    impl_->calls
        .Add({ { "endpoint", endpoint.str() }, { "result", complete ? "complete" : "failed" } })
        .Increment();
}

void Metrics::countRetry()
{
    impl_->retries.Add({}).Increment();
}

void Metrics::countRoleOrder(const std::string &result)
{
    impl_->roleOrders.Add({ { "result", result } }).Increment();
}

void Metrics::countUsageReport(const std::string &result)
{
    impl_->reports.Add({ { "result", result } }).Increment();
}

void Metrics::countLogAppend(bool ok, std::size_t bytes)
{
    impl_->appends.Add({ { "result", ok ? "ok" : "failed" } }).Increment();
    if (ok)
        impl_->appendBytes.Add({}).Increment(static_cast<double>(bytes));
}

void Metrics::countPeerBytes(std::size_t bytes)
{
    impl_->peerBytes.Add({}).Increment(static_cast<double>(bytes));
}

void Metrics::setActiveRequests(std::size_t running, std::size_t queued)
{
    impl_->active.Add({ { "phase", "running" } }).Set(static_cast<double>(running));
    impl_->active.Add({ { "phase", "queued" } }).Set(static_cast<double>(queued));
}

void Metrics::setBundleVersion(std::uint64_t version)
{
    impl_->version.Add({}).Set(static_cast<double>(version));
}

void Metrics::setReady(bool ready)
{
    impl_->ready.Add({}).Set(ready ? 1 : 0);
}

void Metrics::setEndpointPrice(const base::EndpointId &endpoint, bool reclaimable,
                               double pricePerHour)
{
    impl_->price
        .Add({ { "endpoint", endpoint.str() },
               { "class", reclaimable ? "reclaimable" : "standing" } })
        .Set(pricePerHour);
}

std::string Metrics::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(impl_->registry.Collect());
}

} // namespace zinniadoor::daemon
