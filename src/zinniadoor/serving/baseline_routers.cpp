#include <algorithm>

#include "route_rules.hpp"

namespace zinniadoor::serving {

namespace {

class RoundRobinRouter : public Router
{
public:
    explicit RoundRobinRouter(const RouterOptions &options)
        : options_(options)
    { }

    RouteChoice choose(const RouteQuery &query, const EndpointTable &table, absl::Time now,
                       std::uint64_t /*seed*/) override
    {
        const auto suitable = detail::suitable(query, table);
        const auto available = detail::withRoom(suitable, query, options_, now);
        if (available.empty())
            return detail::noEndpointAvailable(suitable, now);
        return detail::selected(*available[next_++ % available.size()]);
    }

private:
    RouterOptions options_;
    std::size_t next_ = 0;
};

class LeastInFlightRouter : public Router
{
public:
    explicit LeastInFlightRouter(const RouterOptions &options)
        : options_(options)
    { }

    RouteChoice choose(const RouteQuery &query, const EndpointTable &table, absl::Time now,
                       std::uint64_t /*seed*/) override
    {
        const auto suitable = detail::suitable(query, table);
        const auto available = detail::withRoom(suitable, query, options_, now);
        if (available.empty())
            return detail::noEndpointAvailable(suitable, now);
        const auto least = std::min_element(
            available.begin(), available.end(),
            [](const EndpointView *a, const EndpointView *b) { return load(*a) < load(*b); });
        return detail::selected(**least);
    }

private:
    // As a conventional load balancer: the last report regardless of its age, or own requests.
    static std::int64_t load(const EndpointView &view)
    {
        if (!view.report)
            return view.own.requests;
        const std::int64_t reported = std::int64_t(view.report->running) + view.report->waiting;
        return std::max(reported, view.own.requests);
    }

    RouterOptions options_;
};

} // namespace

std::unique_ptr<Router> roundRobinRouter(const RouterOptions &options)
{
    return std::make_unique<RoundRobinRouter>(options);
}

std::unique_ptr<Router> leastInFlightRouter(const RouterOptions &options)
{
    return std::make_unique<LeastInFlightRouter>(options);
}

} // namespace zinniadoor::serving
