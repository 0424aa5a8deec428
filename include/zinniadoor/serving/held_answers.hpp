#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

struct HeldAnswersOptions
{
    /// Answers up to this size are never paused, and may be held without being tracked, bytes.
    std::size_t shortAnswer = std::size_t { 16 } * 1024;

    /// Bytes held together above which only the longest answer of each endpoint is read.
    std::size_t pauseAbove = std::size_t { 24 } * 1024 * 1024;

    /// Bytes held together above which answers are given up, the longest of the endpoint with the
    /// most bytes first.
    std::size_t limit = std::size_t { 40 } * 1024 * 1024;
};

/// What to do with an answer that is held. May call `HeldAnswers` and end other answers.
struct HeldAnswerActions
{
    std::function<void(bool)> setPaused; ///< Pauses or resumes its reading.
    std::function<void()> giveUp; ///< Frees its bytes.
};

/// Bounds the memory of answers that are held until they are whole, or until their callers have
/// taken them, over all requests of this instance. An endpoint that sends too much pays itself.
/// Not thread-safe.
class HeldAnswers
{
public:
    using Id = std::uint64_t;

    explicit HeldAnswers(const HeldAnswersOptions &options);

    const HeldAnswersOptions &options() const { return options_; }

    Id add(const base::EndpointId &endpoint, HeldAnswerActions actions);
    void setActions(Id id, HeldAnswerActions actions);

    /// Sets the number of bytes held. May pause or give up answers, this one included.
    void resize(Id id, std::size_t bytes);

    /// May resume other answers.
    void remove(Id id);

    std::size_t bytes() const { return bytes_; }
    std::size_t count() const { return answers_.size(); }

private:
    struct Answer
    {
        base::EndpointId endpoint;
        std::size_t bytes = 0;
        bool isPaused = false;
        HeldAnswerActions actions;
    };
    struct Endpoint
    {
        std::size_t bytes = 0;
        std::size_t answers = 0;
    };
    bool isLongest(Id id) const;
    Id longestOf(const base::EndpointId &endpoint) const;
    void setPaused(Id id, bool paused);
    void giveUpLongest();
    void resume(const base::EndpointId &endpoint);

    HeldAnswersOptions options_;
    std::size_t bytes_ = 0;
    Id lastId_ = 0;
    absl::btree_map<Id, Answer> answers_;
    absl::flat_hash_map<base::EndpointId, Endpoint> endpoints_;
};

/// RAII entry of one answer. It may outlive `HeldAnswers`.
class HeldAnswer
{
public:
    HeldAnswer(const std::shared_ptr<HeldAnswers> &answers, const base::EndpointId &endpoint,
               HeldAnswerActions actions)
        : answers_(answers)
        , id_(answers->add(endpoint, std::move(actions)))
    { }
    ~HeldAnswer()
    {
        if (const auto answers = answers_.lock())
            answers->remove(id_);
    }
    HeldAnswer(const HeldAnswer &) = delete;
    HeldAnswer &operator=(const HeldAnswer &) = delete;

    void setActions(HeldAnswerActions actions)
    {
        if (const auto answers = answers_.lock())
            answers->setActions(id_, std::move(actions));
    }

    /// See `HeldAnswers::resize`.
    void resize(std::size_t bytes)
    {
        if (const auto answers = answers_.lock())
            answers->resize(id_, bytes);
    }

private:
    std::weak_ptr<HeldAnswers> answers_;
    HeldAnswers::Id id_;
};

} // namespace zinniadoor::serving
