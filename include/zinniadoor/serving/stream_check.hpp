#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/serving/sse_splitter.hpp"

namespace zinniadoor::serving {

enum class StreamItemKind : std::uint8_t { Token, Finish, Done };

/// One checked event of an engine's stream.
struct StreamItem
{
    StreamItemKind kind = StreamItemKind::Token;
    std::string callerBytes; ///< The SSE event for the caller, without the offset.
    std::string text; ///< The token's text.
};

/// Usage as the engine states it in its last event.
struct StreamUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Checks an engine's stream for one request, event by event: the echoed id and the offset of
/// each token. What comes late, crossed, doubled or with a gap fails the stream; all that was
/// given out before is a true beginning of the answer, and the rest can be had by resuming at
/// `nextOffset`. A request keeps one checker through all its streams.
class StreamCheck
{
public:
    explicit StreamCheck(base::RequestId request, std::size_t maxEventBytes = MaxSseEventBytes);

    /// Takes bytes as they come and appends the events they complete. A failed status holds
    /// until `resume`; items appended before the fault are good.
    base::Status feed(std::string_view bytes, std::vector<StreamItem> &items);

    /// A new stream follows that begins at token `nextOffset()`.
    void resume();

    /// Why the stream is not whole at its end; done when it is.
    base::Status end() const;

    /// Tokens given out so far, through all streams.
    std::uint64_t nextOffset() const { return nextOffset_; }

    /// The whole answer was given out, the finish event and the end mark included.
    bool isDone() const { return isDone_; }
    const std::string &finishReason() const { return finishReason_; }
    const std::optional<StreamUsage> &usage() const { return usage_; }

private:
    struct Event;
    base::Status takeEvent(const std::string &data, std::vector<StreamItem> &items);
    base::Status takeToken(Event &event, std::vector<StreamItem> &items);
    base::Status takeFinish(Event &event, std::vector<StreamItem> &items);
    base::Status fail(base::Reason reason);

    base::RequestId request_;
    std::size_t maxEventBytes_;
    SseSplitter splitter_;
    std::uint64_t nextOffset_ = 0;
    std::uint64_t streamBegin_ = 0; ///< Offset at which the current stream began.
    bool isDone_ = false;
    std::string finishReason_;
    std::optional<StreamUsage> usage_;
    std::optional<base::Reason> fault_;
};

} // namespace zinniadoor::serving
