#include "service.hpp"

#include <nlohmann/json.hpp>

namespace zinniadoor::standins {
namespace {

constexpr std::size_t MaxKeys = 200000;

} // namespace

Response Service::serve(const Call &call)
{
    const Request &request = call.request;
    if (request.path == "/health")
        return jsonResponse({ { "id", options_.id } });
    std::uint64_t ran = 0;
    {
        const std::lock_guard lock(mutex_);
        ran = ++executions_;
        const std::string key = request.header("Idempotency-Key");
        if (!key.empty() && (executionsByKey_.size() < MaxKeys || executionsByKey_.count(key) > 0))
            ++executionsByKey_[key];
    }
    sleepMs(options_.delayMs);
    if (request.path == "/slow")
        sleepMs(request.queryNumber("ms", 0));
    return jsonResponse({ { "service", options_.id }, { "ran", ran }, { "echo", request.body } });
}

nlohmann::json Service::received(const Request &request)
{
    const std::lock_guard lock(mutex_);
    return { { "id", options_.id },
             { "calls", calls_.callsToJson(request.queryValue("path")) },
             { "counts", calls_.countsToJson() },
             { "faults", faults_.toJson() },
             { "ran", executions_ },
             { "ran_by_key", executionsByKey_ } };
}

bool Service::isRecorded(const Request &request) const
{
    return request.path != "/health";
}

} // namespace zinniadoor::standins
