#include "zinniadoor/gateway/stream_origin_link.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

StreamOriginLink::StreamOriginLink(boost::asio::io_context &io, const ProcessName &self,
                                   ServingContext &serving, Peers peers, Send send)
    : io_(io)
    , self_(self)
    , serving_(serving)
    , peers_(std::move(peers))
    , send_(std::move(send))
{ }

void StreamOriginLink::announce(std::uint64_t stream, const std::string &version)
{
    StreamOriginMessage notice = newMessage(StreamOriginMessage::Kind::Notice, stream);
    notice.version = version;
    const std::string bytes = base::encode(notice);
    for (const std::string &address : firstInOrderOf(stream, Keepers))
        send_(address, bytes);
}

void StreamOriginLink::ask(std::uint64_t stream, const std::string &service,
                           const OriginCallback &done)
{
    const auto [found, isNew] = questions_.try_emplace(stream);
    Question &question = found->second;
    question.callbacks.push_back(done);
    if (!isNew)
        return;
    question.service = service;
    const std::vector<std::string> keepers = firstInOrderOf(stream, Keepers);
    question.unanswered.insert(keepers.begin(), keepers.end());
    sendQuestion(stream);
}

// Notices and answers may be lost, above all where an instance that stood still has more to read
// than its socket holds: then only the instance that served the stream may know it.
void StreamOriginLink::onRoundOver(std::uint64_t stream)
{
    const auto found = questions_.find(stream);
    if (found == questions_.end())
        return;
    Question &question = found->second;
    question.timer.reset();
    if (std::exchange(question.askedOthers, true)) {
        onNotNoted(stream);
        return;
    }
    const std::vector<std::string> others = firstInOrderOf(stream, Keepers + MaxOthers);
    if (others.size() > Keepers)
        question.unanswered.insert(others.begin() + Keepers, others.end());
    sendQuestion(stream);
}

void StreamOriginLink::sendQuestion(std::uint64_t stream)
{
    Question &question = questions_[stream];
    if (question.unanswered.empty()) {
        onRoundOver(stream);
        return;
    }
    question.timer = std::make_unique<AnswerTimer>(io_, serving_.clock, AnswerTime,
                                                   [this, stream] { onRoundOver(stream); });
    const std::string bytes = base::encode(newMessage(StreamOriginMessage::Kind::Question, stream));
    const std::set<std::string> asked = question.unanswered; // Answers may end the question.
    for (const std::string &address : asked)
        send_(address, bytes);
}

base::Status StreamOriginLink::receive(const std::string &bytes, const std::string &from)
{
    const auto message = base::decode<StreamOriginMessage>(bytes);
    if (!message)
        return message.lastReason();
    if (message->sender == self_)
        return base::Done {};
    switch (message->kind) {
    case StreamOriginMessage::Kind::Notice:
        serving_.origins.note(message->stream, message->version, serving_.clock.now());
        break;
    case StreamOriginMessage::Kind::Question:
        reply(*message, from);
        break;
    case StreamOriginMessage::Kind::Answer:
        applyAnswer(*message, from);
        break;
    }
    return base::Done {};
}

void StreamOriginLink::reply(const StreamOriginMessage &question, const std::string &address)
{
    const auto version = serving_.origins.find(question.stream, serving_.clock.now());
    StreamOriginMessage answer = newMessage(StreamOriginMessage::Kind::Answer, question.stream);
    answer.isKnown = version.has_value();
    answer.version = version.value_or("");
    send_(address, base::encode(answer));
}

void StreamOriginLink::applyAnswer(const StreamOriginMessage &answer, const std::string &from)
{
    const auto found = questions_.find(answer.stream);
    if (found == questions_.end())
        return;
    if (answer.isKnown) {
        serving_.origins.note(answer.stream, answer.version, serving_.clock.now());
        finish(answer.stream, { answer.version, OriginSource::Peers, answer.sender.instance });
        return;
    }
    Question &question = found->second;
    question.unanswered.erase(from);
    if (question.timer && question.unanswered.empty())
        onRoundOver(answer.stream);
}

// A version that this instance has not heard of may have begun the stream elsewhere: that there is
// none shows only in what the log of endpoints held after the caller came.
void StreamOriginLink::onNotNoted(std::uint64_t stream)
{
    const Question &question = questions_.at(stream);
    const std::string service = question.service;
    const auto onlyVersion = [this, service] {
        return serving_.directory.versions().onlyVersion(service, serving_.clock.now());
    };
    if (!onlyVersion()) {
        // Those that did not answer may know it, and who has followed the service for longer may
        // tell from its list.
        OriginFinding unknown;
        unknown.mayBeKnownLater = !question.unanswered.empty()
            || serving_.directory.versions().isOneListed(service, serving_.clock.now());
        finish(stream, unknown);
        return;
    }
    serving_.catchUpDirectory([this, stream, onlyVersion](bool isCurrent) {
        const auto version = isCurrent ? onlyVersion() : std::nullopt;
        finish(stream, { version, OriginSource::OnlyVersion, "", !isCurrent });
    });
}

void StreamOriginLink::finish(std::uint64_t stream, const OriginFinding &finding)
{
    auto question = questions_.extract(stream);
    if (question.empty())
        return;
    for (const OriginCallback &done : question.mapped().callbacks)
        done(finding);
}

std::vector<std::string> StreamOriginLink::firstInOrderOf(std::uint64_t stream,
                                                          std::size_t limit) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &[instance, address] : peers_())
        ranked.emplace_back(serving::stableDigest(absl::StrCat(stream, "/", instance)), address);
    const std::size_t count = std::min(limit, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i)
        addresses.push_back(ranked[i].second);
    return addresses;
}

StreamOriginMessage StreamOriginLink::newMessage(StreamOriginMessage::Kind kind,
                                                 std::uint64_t stream) const
{
    StreamOriginMessage message;
    message.sender = self_;
    message.kind = kind;
    message.stream = stream;
    return message;
}

} // namespace zinniadoor::gateway
