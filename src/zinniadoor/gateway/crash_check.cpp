#include "zinniadoor/gateway/crash_check.hpp"

#include <utility>
#include <vector>

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/fetch.hpp"

namespace zinniadoor::gateway {

namespace {

/// No endpoint restarts faster. One that does not answer by then counts as crashed.
constexpr absl::Duration CheckTimeout = absl::Seconds(1);

class HealthCrashCheck : public CrashCheck
{
public:
    explicit HealthCrashCheck(ServingContext &context)
        : context_(context)
        , pending_(std::make_shared<Pending>())
    { }

    void start(const EndpointRecord &endpoint, std::function<void()> crashed) override
    {
        const Service *service = context_.configuration
            ? context_.configuration->findService(endpoint.service)
            : nullptr;
        if (!service || !context_.directory.mayCall(endpoint.id, context_.clock.now())) {
            crashed();
            return;
        }
        auto &waiting = (*pending_)[endpoint.id];
        waiting.push_back(std::move(crashed));
        if (waiting.size() > 1) // A check is under way.
            return;
        net::FetchOptions options;
        options.timeout = CheckTimeout;
        options.newConnection = true; // The crash has broken the others.
        options.maxBodyBytes = net::MaxEndpointReplyBytes;
        options.matchesCall = [&dialect = context_.endpointDialect](const net::ResponseHead &head) {
            return dialect.answersOwnRequest(head);
        };
        const std::weak_ptr<Pending> weak = pending_;
        net::fetch(context_.io, context_.client, { endpoint.address, endpoint.id.str() },
                   context_.endpointDialect.checkHealth(endpoint, service->healthPath),
                   std::move(options),
                   [weak, id = endpoint.id, &dialect = context_.endpointDialect](
                       const base::Outcome<net::FullResponse> &response) {
                       const auto pending = weak.lock();
                       if (!pending)
                           return;
                       const bool isAlive = response && isFrom(id, dialect.decode(response->head));
                       onResult(*pending, id, isAlive);
                   });
    }

private:
    using Pending = absl::flat_hash_map<base::EndpointId, std::vector<std::function<void()>>>;

    static bool isFrom(const base::EndpointId &id, const AnswerFacts &facts)
    {
        return !facts.misdirected && (facts.endpoint.empty() || facts.endpoint == id.str());
    }

    static void onResult(Pending &pending, const base::EndpointId &id, bool isAlive)
    {
        const auto found = pending.find(id);
        if (found == pending.end())
            return;
        const std::vector<std::function<void()>> waiting = std::move(found->second);
        pending.erase(found);
        if (isAlive) {
            base::logEvent(base::EventId::EndpointCrashRefuted, { { "endpoint", id.str() } });
            return;
        }
        for (const std::function<void()> &crashed : waiting)
            crashed();
    }

    ServingContext &context_;
    std::shared_ptr<Pending> pending_; ///< By endpoint that is being checked.
};

} // namespace

std::unique_ptr<CrashCheck> makeCrashCheck(ServingContext &context)
{
    return std::make_unique<HealthCrashCheck>(context);
}

} // namespace zinniadoor::gateway
