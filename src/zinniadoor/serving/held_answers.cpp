#include "zinniadoor/serving/held_answers.hpp"

#include <utility>
#include <vector>

namespace zinniadoor::serving {

HeldAnswers::HeldAnswers(const HeldAnswersOptions &options)
    : options_(options)
{ }

HeldAnswers::Id HeldAnswers::add(const base::EndpointId &endpoint, HeldAnswerActions actions)
{
    ++endpoints_[endpoint].answers;
    answers_[++lastId_] = { endpoint, 0, false, std::move(actions) };
    return lastId_;
}

void HeldAnswers::setActions(Id id, HeldAnswerActions actions)
{
    const auto found = answers_.find(id);
    if (found != answers_.end())
        found->second.actions = std::move(actions);
}

void HeldAnswers::resize(Id id, std::size_t bytes)
{
    const auto found = answers_.find(id);
    if (found == answers_.end())
        return;
    Answer &answer = found->second;
    Endpoint &endpoint = endpoints_[answer.endpoint];
    const bool shrinks = bytes < answer.bytes;
    bytes_ += bytes - answer.bytes;
    endpoint.bytes += bytes - answer.bytes;
    answer.bytes = bytes;
    if (shrinks)
        resume(base::EndpointId(answer.endpoint));
    else if (bytes_ > options_.limit)
        giveUpLongest();
    else if (bytes_ > options_.pauseAbove && bytes > options_.shortAnswer && !isLongest(id))
        setPaused(id, true);
}

void HeldAnswers::remove(Id id)
{
    const auto found = answers_.find(id);
    if (found == answers_.end())
        return;
    const base::EndpointId name = found->second.endpoint;
    const auto endpoint = endpoints_.find(name);
    bytes_ -= found->second.bytes;
    endpoint->second.bytes -= found->second.bytes;
    answers_.erase(found);
    if (--endpoint->second.answers == 0)
        endpoints_.erase(endpoint);
    resume(name);
}

HeldAnswers::Id HeldAnswers::longestOf(const base::EndpointId &endpoint) const
{
    Id longest = 0;
    std::size_t bytes = 0;
    for (const auto &[id, answer] : answers_) {
        if (answer.endpoint == endpoint && (longest == 0 || answer.bytes > bytes)) {
            longest = id;
            bytes = answer.bytes;
        }
    }
    return longest;
}

bool HeldAnswers::isLongest(Id id) const
{
    return longestOf(answers_.find(id)->second.endpoint) == id;
}

void HeldAnswers::setPaused(Id id, bool paused)
{
    const auto found = answers_.find(id);
    if (found == answers_.end() || found->second.isPaused == paused)
        return;
    found->second.isPaused = paused;
    const auto action = found->second.actions.setPaused; // May remove the answer.
    if (action)
        action(paused);
}

void HeldAnswers::giveUpLongest()
{
    const Endpoint *heaviest = nullptr;
    base::EndpointId name;
    for (const auto &[id, endpoint] : endpoints_) {
        if (!heaviest || endpoint.bytes > heaviest->bytes) {
            heaviest = &endpoint;
            name = id;
        }
    }
    const auto found = answers_.find(longestOf(name));
    if (found == answers_.end())
        return;
    const auto action = found->second.actions.giveUp; // Removes the answer.
    if (action)
        action();
}

// With few bytes left all answers go on; else the longest of the endpoint takes its turn.
void HeldAnswers::resume(const base::EndpointId &endpoint)
{
    if (bytes_ > options_.pauseAbove) {
        setPaused(longestOf(endpoint), false);
        return;
    }
    std::vector<Id> paused;
    for (const auto &[id, answer] : answers_) {
        if (answer.isPaused)
            paused.push_back(id);
    }
    for (const Id id : paused)
        setPaused(id, false);
}

} // namespace zinniadoor::serving
