#include "zinniadoor/daemon/core.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/control/fixed_split.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration TickInterval = absl::Milliseconds(5);
constexpr std::size_t MostMessagesPerTick = 512;
constexpr double RequestCost = 1;

serving::RouterOptions routerOptions(const Settings &settings)
{
    serving::RouterOptions options;
    options.instance = settings.instance;
    options.dataCentre = settings.dataCentre;
    return options;
}

} // namespace

Core::Core(Parts parts)
    : parts_(parts)
    , random_(parts.seed)
    , calls_(parts.endpoints, parts.ring, parts.settings.limits.pendingBytesPerStream)
    , router_(serving::firstTokenRouter(routerOptions(parts.settings)))
    , queue_(serving::fairQueue({}))
    , retries_(serving::budgetRetryPolicy({}))
    , ejection_({})
    , crashes_({})
    , rate_(std::make_unique<control::FixedSplit>(
          static_cast<std::uint32_t>(parts.settings.knownPeers.size() + 1)))
    , services_ { parts.clock, parts.settings, calls_,   parts.metrics, endpoints_, *router_,
                  *retries_,   ejection_,      crashes_, *this,         random_ }
    , requests_({ services_, *queue_, *this, *this, *this })
    , poller_({}, parts.clock, calls_, endpoints_)
    , control_({ parts.settings, parts.clock, parts.tail, parts.appender, parts.metrics, *this },
               { parts.settings.instance, parts.incarnation })
{ }

Core::~Core() = default;

void Core::run()
{
    control_.start();
    absl::Time nextTick = parts_.clock.now();
    while (!stopping_) {
        const absl::Duration wait = std::max(absl::ZeroDuration(), nextTick - parts_.clock.now());
        std::optional<CoreMessage> message = parts_.ring.pop(wait);
        for (std::size_t handled = 0; message && handled < MostMessagesPerTick; ++handled) {
            handle(std::move(*message));
            message = parts_.ring.tryPop();
        }
        if (message)
            handle(std::move(*message));
        const absl::Time now = parts_.clock.now();
        if (now < nextTick)
            continue;
        tick(now);
        nextTick = now + TickInterval;
    }
}

void Core::handle(CoreMessage message)
{
    std::visit([this](auto &alternative) { on(alternative); }, message);
}

void Core::on(CallerArrived &message)
{
    requests_.onArrived(std::move(message.exchange));
}

void Core::on(CallerProgressed &message)
{
    requests_.onProgressed(message.exchange);
}

void Core::on(EndpointNews &message)
{
    calls_.deliver(message.call);
}

void Core::on(LogRead &message)
{
    control_.onRead(message);
}

void Core::on(LogUnreadable &message)
{
    control_.onUnreadable(message);
}

void Core::on(AppendEnded &message)
{
    control_.onAppended(message);
}

void Core::on(PeerDatagram &) { }

void Core::on(PeerCalled &) { }

void Core::on(PeerAnswered &) { }

void Core::on(InstancesListed &) { }

void Core::on(OrderEnded &) { }

void Core::on(ReportEnded &) { }

void Core::on(StopRequested &)
{
    if (draining_)
        return;
    draining_ = true;
    base::logEvent(base::EventId::DaemonStopping, {});
    requests_.drain();
}

void Core::tick(absl::Time now)
{
    requests_.setReadiness(judgeReadiness(now));
    calls_.sweep();
    requests_.tick(now);
    poller_.tick(now);
    control_.tick(now);
    for (const control::Decision &decision : rate_->tick(now).decisions)
        requests_.onDecision(decision);
    publishStatus();
}

Readiness Core::judgeReadiness(absl::Time now) const
{
    if (draining_)
        return { false, "this instance is being stopped" };
    if (control_.state().configuration().bundle() == nullptr)
        return { false, "no configuration yet" };
    if (now - control_.lastContact() > parts_.settings.control.isolation)
        return { false, "neither the log nor other instances have been heard for too long" };
    return { true, "" };
}

void Core::publishStatus()
{
    const absl::MutexLock lock(&statusMutex_);
    const Readiness readiness = judgeReadiness(parts_.clock.now());
    if (readiness.ready != status_.readiness.ready) {
        base::logEvent(
            base::EventId::ReadinessChanged,
            { { "ready", readiness.ready ? "true" : "false" }, { "reason", readiness.reason } });
        parts_.metrics.setReady(readiness.ready);
    }
    status_.readiness = readiness;
    status_.bundleVersion = control_.state().configuration().version();
    status_.requests = requests_.size();
    status_.drained = draining_ && requests_.size() == 0;
}

CoreStatus Core::status() const
{
    const absl::MutexLock lock(&statusMutex_);
    return status_;
}

void Core::onConfiguration(const control::Bundle &bundle)
{
    const absl::Time now = parts_.clock.now();
    requests_.setConfiguration(bundle);
    poller_.setEndpoints(bundle.endpoints);
    rate_->setOrganisations(bundle.organisations, now);
}

void Core::onApplied() { }

control::Admission Core::admit(const base::OrganisationId &organisation, absl::Time now)
{
    return rate_->admit(organisation, RequestCost, now);
}

void Core::cancel(control::Ticket ticket)
{
    rate_->cancel(ticket);
}

std::unique_ptr<Request> Core::start(std::shared_ptr<ports::CallerExchange> exchange,
                                     const base::RequestId &id, const Caller &,
                                     const control::Route &)
{
    sendError(*exchange, id,
              errorAnswerOf({ base::ReasonCode::Unavailable, "not served yet" }, RunState::NotRun));
    return nullptr;
}

void Core::onCrash(const std::vector<serving::CrashEntry> &) { }

void Core::count(const UsedTokens &used, std::function<void()> settled)
{
    control::UsageCounted counted;
    counted.instance = control_.self().instance;
    counted.incarnation = control_.self().incarnation;
    counted.items.push_back(
        { ++lastUsage_, used.organisation, used.promptTokens, used.outputTokens });
    control_.append(std::move(counted));
    settled();
}

} // namespace zinniadoor::daemon
