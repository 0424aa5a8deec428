#include <algorithm>
#include <functional>

#include <sodium.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Applies to requests without a deadline.
constexpr absl::Duration DefaultRequestTimeout = absl::Seconds(30);

std::string digestOf(const RequestFacts &facts, const std::string &body)
{
    unsigned char digest[16];
    const std::string text
        = absl::StrCat(facts.host, "\n", facts.path, "\n", facts.key, "\n", body);
    crypto_generichash(digest, sizeof digest, reinterpret_cast<const unsigned char *>(text.data()),
                       text.size(), nullptr, 0);
    return absl::BytesToHexString(
        absl::string_view(reinterpret_cast<const char *>(digest), sizeof digest));
}

/// Picks the service of a weighted route by the hash of the request id.
std::string pickService(const Route &route, const std::string &requestId)
{
    std::uint64_t total = 0;
    for (const WeightedService &service : route.services)
        total += service.weight;
    std::uint64_t place = total == 0 ? 0 : std::hash<std::string> {}(requestId) % total;
    for (const WeightedService &service : route.services) {
        if (place < service.weight)
            return service.service;
        place -= service.weight;
    }
    return "";
}

} // namespace

Exchange::Exchange(ServingContext &context, net::Request request,
                   std::shared_ptr<net::Responder> responder)
    : context_(context)
    , request_(std::move(request))
    , responder_(std::move(responder))
    , deadlineTimer_(context.io)
    , silenceTimer_(context.io)
    , arrivedAt_(context.clock.now())
    , deadline_(arrivedAt_ + DefaultRequestTimeout)
{ }

void Exchange::begin()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    responder_->onClosed([weak] {
        if (const auto self = weak.lock())
            self->onCallerLeft();
    });
    context_.exchanges.add(weak);
    if (!admit())
        return;
    if (route_.streaming && lastEventId_)
        takeUp();
    else
        dispatch();
}

void Exchange::reject(const Refusal &refusal)
{
    const auto facts = context_.callerDialect.decode(request_);
    if (facts) {
        facts_ = *facts;
        deadline_ = arrivedAt_ + facts_.timeout.value_or(DefaultRequestTimeout);
    }
    refuse(refusal.kind, refusal.text, refusal.retryAfter);
}

bool Exchange::admit()
{
    const auto facts = context_.callerDialect.decode(request_);
    if (!facts) {
        refuse(RefusalKind::Malformed, facts.lastReason().text);
        return false;
    }
    facts_ = *facts;
    configuration_ = context_.configuration;
    if (!configuration_) {
        refuse(RefusalKind::NotRun, "no_configuration", DefaultRetryAfter);
        return false;
    }
    const std::string path = facts_.path.substr(0, facts_.path.find('?'));
    const Route *route = configuration_->findRoute(facts_.host, path);
    if (!route) {
        refuseUnknown(RefusalKind::NoRoute, "no_route");
        return false;
    }
    route_ = *route;
    const bool isTakeUp = facts_.lastEventId && !facts_.resumes.empty();
    const std::string &streamId = isTakeUp ? facts_.resumes : facts_.id;
    service_ = pickService(route_, streamId);
    absl::Duration longest = facts_.timeout.value_or(DefaultRequestTimeout);
    if (route_.timeout > absl::ZeroDuration())
        longest = std::min(longest, route_.timeout);
    deadline_ = arrivedAt_ + longest;
    if (!authenticate(*configuration_))
        return false;
    regions_ = AllowedRegions(route_, organisation_, context_.regions);
    if (service_.empty()) {
        refuse(RefusalKind::NotRun, "no_service", DefaultRetryAfter);
        return false;
    }
    bodyDigest_ = digestOf(facts_, request_.body());
    bodyKey_ = serving::stableDigest(bodyDigest_);
    sharedParts_ = serving::sharedPartKeys(facts_.promptParts);
    if (refuseIfHarmful())
        return false;
    parts_ = serving::keySegments(facts_.promptParts);
    lastEventId_ = facts_.lastEventId;
    stream_ = serving::stableDigest(streamId);
    armDeadlineTimer();
    return consumeQuota();
}

bool Exchange::authenticate(const Configuration &configuration)
{
    if (route_.isPublic)
        return true;
    organisation_ = configuration.findByKey(facts_.key);
    if (organisation_ || configuration.parts().keyPolicy == KeyPolicy::NotRequired)
        return true;
    refuseUnknown(RefusalKind::UnknownKey, "unknown_key");
    return false;
}

void Exchange::refuseUnknown(RefusalKind kind, const std::string &why)
{
    if (context_.isConfigurationOutdated())
        refuse(RefusalKind::NotRun, "configuration_outdated", DefaultRetryAfter);
    else
        refuse(kind, why);
}

std::optional<std::string> Exchange::reasonOfHarm() const
{
    const absl::Time now = context_.clock.now();
    const bool mayBeTried
        = onTrial_ || (attempts_ == 0 && context_.bodyCrashes.mayTry(bodyKey_, now));
    // A stream that has begun is continued as far as its attempts allow.
    const bool isExempt = mayBeTried || firstByteAt_.has_value();
    if (!isExempt && context_.bodyCrashes.isRefused(bodyKey_, now))
        return "crashed_endpoints";
    if (context_.partCrashes.refusedKey(sharedParts_, now))
        return "crashing_part";
    return std::nullopt;
}

bool Exchange::refuseIfHarmful()
{
    const auto reason = reasonOfHarm();
    if (reason)
        refuse(RefusalKind::Harmful, *reason);
    return reason.has_value();
}

bool Exchange::consumeQuota()
{
    if (!organisation_)
        return true;
    quotaCost_ = 1;
    if (organisation_->unit == QuotaUnit::Tokens) {
        quotaCost_ = facts_.hasTokenCounts ? facts_.promptTokens + facts_.maxOutputTokens
                                           : organisation_->defaultRequestTokens;
    }
    const auto retryAfter = context_.quota.tryConsume(organisation_->id, quotaCost_, arrivedAt_);
    if (retryAfter) {
        logQuota();
        refuse(RefusalKind::OverQuota, "over_quota", retryAfter);
        return false;
    }
    quotaConsumed_ = true;
    return true;
}

void Exchange::logQuota() const
{
    const auto view = context_.quota.takeView(organisation_->id, arrivedAt_);
    if (!view)
        return;
    const auto whole
        = [](double count) { return std::to_string(static_cast<std::int64_t>(count)); };
    logEvent(EventId::QuotaReached,
             { { "organisation", organisation_->id.str() },
               { "limit", whole(organisation_->ratePerSecond) },
               { "available", whole(view->level) },
               { "silent_use", whole(view->silentUse) },
               { "share_percent", whole(100 * view->share) },
               { "own", whole(view->own) },
               { "others", whole(view->others) },
               { "estimated", whole(view->estimated) } });
}

bool Exchange::admitInTime(const EndpointChoice &choice)
{
    const absl::Duration limit = longestExpected();
    if (choice.firstByte <= limit)
        return true;
    const bool mayRepeat = route_.repeatability != Repeatability::AtMostOnce;
    const absl::Duration wait
        = context_.admissionTrials.takeTrial(answerClass(), mayRepeat, context_.clock.now());
    if (wait <= absl::ZeroDuration()) {
        trialLimit_ = limit;
        context_.metrics.countAdmissionTrial();
        logEvent(EventId::AdmissionTried,
                 { { "request", facts_.id },
                   { "route", route_.name },
                   { "expected_ms", wholeMs(choice.firstByte) },
                   { "limit_ms", wholeMs(limit) } });
        return true;
    }
    expected_ = choice.firstByte;
    // A queue gets shorter by itself; an estimate changes with the next trial.
    const absl::Duration excess = choice.firstByte - limit;
    refuse(RefusalKind::NotRun, "too_late", choice.hasQueue ? excess : std::max(excess, wait));
    return false;
}

serving::AnswerClass Exchange::answerClass() const
{
    // The estimate of an engine's speed takes the length of the prompt into account.
    return { service_, route_.carriesPrompt ? "" : route_.name };
}

// A trial that was answered in time rules out what the estimate was made of. A time in which this
// process stood still is not the endpoint's.
void Exchange::noteAnswerTime(absl::Duration time)
{
    if (hasStoodStill())
        return;
    const absl::Time now = context_.clock.now();
    const bool isRefuted = trialLimit_ && time <= *trialLimit_;
    if (!route_.carriesPrompt && isRefuted)
        context_.answers.replace(answerClass(), time, now);
    else if (!route_.carriesPrompt)
        context_.answers.note(answerClass(), time, now);
    else if (isRefuted && !choice_.hasQueue) // Otherwise the queue may have been shorter.
        context_.speeds.forget(service_);
    if (!trialLimit_ || isRefuted)
        context_.admissionTrials.noteAnswer(answerClass(), now);
}

void refuseRequest(ServingContext &context, net::Request request,
                   std::shared_ptr<net::Responder> responder, const Refusal &refusal)
{
    std::make_shared<Exchange>(context, std::move(request), std::move(responder))->reject(refusal);
}

void serveRequest(ServingContext &context, net::Request request,
                  std::shared_ptr<net::Responder> responder)
{
    std::make_shared<Exchange>(context, std::move(request), std::move(responder))->begin();
}

} // namespace zinniadoor::gateway
