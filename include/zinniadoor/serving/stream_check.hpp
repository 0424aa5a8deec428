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

/// One validated event of an engine's stream.
struct StreamItem
{
    StreamItemKind kind = StreamItemKind::Token;
    std::string callerBytes; ///< SSE event to send to the client, without the offset.
    std::string text; ///< Text of the token.
};

/// Usage as reported in the last event of the stream.
struct StreamUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Validates an engine's stream for one request by the echoed request id and the offset of each
/// token. Events that are stale, duplicated, missing or belong to another request fail the stream;
/// all tokens passed on before are a correct prefix of the answer, which can be resumed at
/// `nextOffset`. One checker is used for all streams of a request.
class StreamCheck
{
public:
    explicit StreamCheck(base::RequestId request, std::size_t maxEventBytes = MaxSseEventBytes);

    /// Consumes bytes and appends the completed events to `items`. A failed status persists until
    /// `resume`; items appended before the failure are valid.
    base::Status feed(std::string_view bytes, std::vector<StreamItem> &items);

    /// Prepares for a new stream that starts at token `nextOffset()`.
    void resume();

    /// Status at the end of the stream: done if the answer is complete, else the reason.
    base::Status end() const;

    /// Tokens passed on so far over all streams.
    std::uint64_t nextOffset() const { return nextOffset_; }

    /// Whether the complete answer was passed on, including the finish event and the end marker.
    bool isDone() const { return isDone_; }
    const std::string &finishReason() const { return finishReason_; }
    const std::optional<StreamUsage> &usage() const { return usage_; }

private:
    struct Event;
    base::Status processEvent(const std::string &data, std::vector<StreamItem> &items);
    base::Status processToken(Event &event, std::vector<StreamItem> &items);
    base::Status processFinish(Event &event, std::vector<StreamItem> &items);
    base::Status fail(base::Reason reason);

    base::RequestId request_;
    std::size_t maxEventBytes_;
    SseSplitter splitter_;
    std::uint64_t nextOffset_ = 0;
    std::uint64_t streamStartOffset_ = 0; ///< Offset at which the current stream started.
    bool isDone_ = false;
    std::string finishReason_;
    std::optional<StreamUsage> usage_;
    std::optional<base::Reason> fault_;
};

} // namespace zinniadoor::serving
