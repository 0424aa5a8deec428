#include "virtual_engine.hpp"

#include <algorithm>
#include <utility>

namespace zinniadoor::bench {

VirtualEngine::VirtualEngine(const EngineProfile &profile, control::Role role, EventLoop &loop)
    : profile_(profile)
    , role_(role)
    , loop_(loop)
{
    sample();
}

VirtualEngine::JobNumber VirtualEngine::start(EngineJob job)
{
    if (isFailing_ || isChangingRole_ || isTerminated_)
        return 0;
    const JobNumber number = nextNumber_++;
    prefillWaiting_ += job.prefillTokens;
    jobs_[number].job = std::move(job);
    startNext();
    sample();
    return number;
}

void VirtualEngine::startNext()
{
    while (running_ < profile_.slots) {
        auto next = jobs_.end();
        for (auto entry = jobs_.begin(); entry != jobs_.end(); ++entry) {
            if (entry->second.isRunning)
                continue;
            if (next == jobs_.end()
                || (next->second.job.isDeferable && !entry->second.job.isDeferable))
                next = entry;
        }
        if (next == jobs_.end())
            return;
        run(next->first, next->second);
    }
}

void VirtualEngine::run(JobNumber number, Running &running)
{
    running.isRunning = true;
    running.version = nextVersion_++;
    ++running_;
    const double factor = role_ == control::Role::Decode ? profile_.offRoleFactor : 1;
    const double seconds = running.job.prefillTokens / (profile_.prefillTokensPerSecond * factor);
    prefillFree_ = std::max(prefillFree_, loop_.now()) + absl::Seconds(seconds);
    loop_.scheduleAt(prefillFree_, [this, number, version = running.version] {
        const auto found = jobs_.find(number);
        if (found != jobs_.end() && found->second.version == version)
            beginDecode(number, found->second);
    });
}

void VirtualEngine::beginDecode(JobNumber number, Running &running)
{
    running.isDecoding = true;
    running.decodeStart = loop_.now();
    running.tokensBefore = 1;
    prefillWaiting_ -= running.job.prefillTokens;
    sample();
    scheduleFinish(number, running);
    if (running.job.onFirstToken)
        running.job.onFirstToken();
}

void VirtualEngine::scheduleFinish(JobNumber number, Running &running)
{
    running.version = nextVersion_++;
    const double left = std::max(0.0, running.job.outputTokens - running.tokensBefore);
    const absl::Time end = running.decodeStart + absl::Seconds(left / streamDecodeRate());
    loop_.scheduleAt(end, [this, number, version = running.version] {
        const auto found = jobs_.find(number);
        if (found == jobs_.end() || found->second.version != version)
            return;
        const EngineJob job = std::move(found->second.job);
        jobs_.erase(found);
        --running_;
        startNext();
        sample();
        job.onFinish();
    });
}

double VirtualEngine::streamDecodeRate() const
{
    const double factor = role_ == control::Role::Prefill ? profile_.offRoleFactor : 1;
    return profile_.tokensPerSecond * factor;
}

double VirtualEngine::tokensSoFar(const Running &running) const
{
    if (!running.isDecoding)
        return 0;
    const double seconds = absl::ToDoubleSeconds(loop_.now() - running.decodeStart);
    const double tokens = running.tokensBefore + seconds * streamDecodeRate();
    return std::min<double>(tokens, running.job.outputTokens);
}

std::uint32_t VirtualEngine::cancel(JobNumber number)
{
    const auto found = jobs_.find(number);
    if (found == jobs_.end())
        return 0;
    const auto tokens = static_cast<std::uint32_t>(tokensSoFar(found->second));
    if (!found->second.isDecoding)
        prefillWaiting_ -= found->second.job.prefillTokens;
    running_ -= found->second.isRunning ? 1 : 0;
    jobs_.erase(found);
    startNext();
    sample();
    return tokens;
}

void VirtualEngine::changeRole(control::Role role, std::function<void()> done)
{
    isChangingRole_ = true;
    loop_.scheduleAfter(profile_.roleChange, [this, role, done = std::move(done)] {
        // Running streams continue at the decode rate of the new role.
        std::map<JobNumber, double> tokens;
        for (const auto &[number, running] : jobs_)
            tokens[number] = tokensSoFar(running);
        role_ = role;
        isChangingRole_ = false;
        for (auto &[number, running] : jobs_) {
            if (!running.isDecoding)
                continue;
            running.tokensBefore = tokens[number];
            running.decodeStart = loop_.now();
            scheduleFinish(number, running);
        }
        sample();
        done();
    });
}

void VirtualEngine::terminate()
{
    isTerminated_ = true;
    const auto aborted = std::exchange(jobs_, {});
    running_ = 0;
    prefillWaiting_ = 0;
    for (const auto &[number, running] : aborted)
        running.job.onAborted(static_cast<std::uint32_t>(tokensSoFar(running)));
}

void VirtualEngine::sample()
{
    serving::LoadReport report;
    report.running = running_;
    report.waiting = static_cast<std::uint32_t>(jobs_.size()) - running_;
    report.prefillTokensWaiting = prefillWaiting_;
    report.role = role_;
    report.sampledAt = loop_.now();
    history_.push_back(report);
}

serving::LoadReport VirtualEngine::report()
{
    const absl::Time shown = loop_.now() - profile_.reportAge;
    while (history_.size() > 1 && history_[1].sampledAt <= shown)
        history_.pop_front();
    serving::LoadReport report = history_.front();
    report.sampledAt = std::max(report.sampledAt, shown);
    return report;
}

} // namespace zinniadoor::bench
