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
    for (const std::string &address : keepersOf(stream))
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
    const std::vector<std::string> keepers = keepersOf(stream);
    question.unanswered = keepers.size();
    if (keepers.empty()) {
        onNotNoted(stream);
        return;
    }
    question.timer = std::make_unique<AnswerTimer>(io_, serving_.clock, AnswerTime,
                                                   [this, stream] { onNotNoted(stream); });
    const std::string bytes = base::encode(newMessage(StreamOriginMessage::Kind::Question, stream));
    for (const std::string &address : keepers)
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
        applyAnswer(*message);
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

void StreamOriginLink::applyAnswer(const StreamOriginMessage &answer)
{
    const auto found = questions_.find(answer.stream);
    if (found == questions_.end())
        return;
    if (answer.isKnown) {
        serving_.origins.note(answer.stream, answer.version, serving_.clock.now());
        finish(answer.stream, { answer.version, OriginSource::Peers, answer.sender.instance });
    } else if (found->second.timer && --found->second.unanswered == 0) {
        onNotNoted(answer.stream);
    }
}

// A version that this instance has not heard of may have begun the stream elsewhere: that there is
// none shows only in what the log of endpoints held after the caller came.
void StreamOriginLink::onNotNoted(std::uint64_t stream)
{
    const auto found = questions_.find(stream);
    if (found == questions_.end())
        return;
    found->second.timer.reset();
    const std::string service = found->second.service;
    const auto onlyVersion = [this, service] {
        return serving_.directory.versions().onlyVersion(service, serving_.clock.now());
    };
    if (!onlyVersion()) {
        finish(stream, {});
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

std::vector<std::string> StreamOriginLink::keepersOf(std::uint64_t stream) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &[instance, address] : peers_())
        ranked.emplace_back(serving::stableDigest(absl::StrCat(stream, "/", instance)), address);
    const std::size_t count = std::min(Keepers, ranked.size());
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
