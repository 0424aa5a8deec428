#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/gateway/answer_timer.hpp"
#include "zinniadoor/gateway/serving_context.hpp"
#include "zinniadoor/gateway/stream_origin_message.hpp"

namespace zinniadoor::gateway {

/// Keeps the origin of each stream at a few other instances, which are found by the stream's
/// digest: a caller may take its stream up at any instance, also after the one that served it has
/// ended. A notice leaves as the first event does. Instances tell others only what they have noted,
/// never what they conclude from their own list of endpoints, which may be outdated.
class StreamOriginLink
{
public:
    using Send = std::function<void(const std::string &address, const std::string &bytes)>;

    /// Addresses of the other instances, by name.
    using Peers = std::function<std::map<std::string, std::string>()>;

    /// Instances that keep an origin, in addition to the one that serves the stream.
    static constexpr std::size_t Keepers = 4;

    /// How long a question waits for its answers.
    static constexpr absl::Duration AnswerTime = absl::Milliseconds(150);

    StreamOriginLink(boost::asio::io_context &io, const ProcessName &self, ServingContext &serving,
                     Peers peers, Send send);

    /// A stream has begun here.
    void announce(std::uint64_t stream, const std::string &version);

    /// Asks the keepers of a stream. If none of them knows it in time, the stream can have begun
    /// only at the service's only version; the list that shows this is made current first.
    void ask(std::uint64_t stream, const std::string &service, const OriginCallback &done);

    /// Returns a failed outcome if the message cannot be decoded.
    base::Status receive(const std::string &bytes, const std::string &from);

private:
    struct Question
    {
        std::string service;
        std::vector<OriginCallback> callbacks;
        std::size_t unanswered = 0;
        std::unique_ptr<AnswerTimer> timer; ///< Null while the list is made current.
    };

    /// The instances that come first in an order that depends on the stream.
    std::vector<std::string> keepersOf(std::uint64_t stream) const;
    void reply(const StreamOriginMessage &question, const std::string &address);
    void applyAnswer(const StreamOriginMessage &answer);
    void onNotNoted(std::uint64_t stream); ///< No keeper knows it.
    void finish(std::uint64_t stream, const OriginFinding &finding);
    StreamOriginMessage newMessage(StreamOriginMessage::Kind kind, std::uint64_t stream) const;

    boost::asio::io_context &io_;
    ProcessName self_;
    ServingContext &serving_;
    Peers peers_;
    Send send_;
    std::map<std::uint64_t, Question> questions_;
};

} // namespace zinniadoor::gateway
