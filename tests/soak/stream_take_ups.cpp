#include "soak/stream_take_ups.hpp"

#include <chrono>
#include <memory>
#include <random>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include "soak/persistent_connection.hpp"

namespace zinniadoor::soak {

namespace {

using std::chrono::milliseconds;

constexpr int MaxAnswers = 5; ///< Of a stream.
/// Longer than instances are frozen, so that these get requests that waited meanwhile.
constexpr milliseconds TakeUpTimeout(5000);
constexpr milliseconds Deadline(4000);
constexpr milliseconds
    BeginTimeout(600); ///< Short, so that callers do not all wait for frozen ones.

struct StreamEvent
{
    int number = 0; ///< 0: cannot be read.
    std::string version;
};

StreamEvent parseEvent(absl::string_view text)
{
    int number = 0;
    const std::pair<absl::string_view, absl::string_view> lines
        = absl::StrSplit(text, absl::MaxSplits('\n', 1));
    absl::string_view id = lines.first;
    absl::string_view data = lines.second;
    if (!absl::ConsumePrefix(&id, "id: ") || !absl::SimpleAtoi(id, &number)
        || !absl::ConsumePrefix(&data, absl::StrCat("data: event ", number, " of ")))
        return {};
    return { number, std::string(data) };
}

/// The events of `body` that were received whole.
std::vector<StreamEvent> wholeEvents(const std::string &body)
{
    std::vector<StreamEvent> events;
    std::vector<absl::string_view> parts = absl::StrSplit(body, "\n\n");
    parts.pop_back();
    for (const absl::string_view part : parts)
        events.push_back(parseEvent(part));
    return events;
}

bool endsWithWholeEvent(const std::string &body)
{
    return body.empty() || absl::EndsWith(body, "\n\n");
}

/// Follows one stream through its answers.
class StreamCheck
{
public:
    StreamCheck(int events, std::vector<std::string> &violations)
        : events_(events)
        , violations_(violations)
    { }

    void add(const StreamAnswer &answer)
    {
        const CallRecord &call = answer.call;
        if (call.status != 200)
            return;
        for (const StreamEvent &event : wholeEvents(call.body)) {
            if (event.number != last_ + 1)
                report(call, absl::StrCat("event ", event.number, " after ", last_));
            if (!version_.empty() && event.version != version_)
                report(call, absl::StrCat("of ", event.version, ", begun at ", version_));
            last_ = event.number;
            if (version_.empty())
                version_ = event.version;
        }
        if (!call.complete)
            return;
        if (last_ != events_ || !endsWithWholeEvent(call.body))
            report(call, "complete, but lacks events");
        if (!call.isSigned)
            report(call, "200 without a signature");
    }

    int last() const { return last_; }
    const std::string &version() const { return version_; }

private:
    void report(const CallRecord &call, const std::string &what)
    {
        violations_.push_back(absl::StrCat(call.id, ": ", what, ": ", call.body));
    }

    int events_;
    std::vector<std::string> &violations_;
    int last_ = 0;
    std::string version_;
};

} // namespace

struct StreamCallers::Caller
{
    std::mt19937 random;
    std::string name;
    int requests = 0;
    std::vector<std::unique_ptr<PersistentConnection>> connections;
};

StreamCallers::StreamCallers(std::vector<std::string> gateways, std::size_t callers,
                             std::uint32_t seed, std::string path, int events)
    : gateways_(std::move(gateways))
    , seed_(seed)
    , path_(std::move(path))
    , events_(events)
{
    for (std::size_t i = 0; i < callers; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

StreamCallers::~StreamCallers()
{
    stop();
}

std::vector<StreamRecord> StreamCallers::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return records_;
}

void StreamCallers::run(std::size_t number)
{
    Caller caller;
    caller.random.seed(seed_ * 1000 + 500 + static_cast<std::uint32_t>(number));
    caller.name = absl::StrCat("s", number);
    for (const std::string &gateway : gateways_)
        caller.connections.push_back(std::make_unique<PersistentConnection>(gateway));
    while (!stopping_) {
        StreamRecord record = callForStream(caller);
        const bool answered = record.back().call.status != 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            records_.push_back(std::move(record));
        }
        if (!answered) // Avoids a busy loop while the instance is down.
            std::this_thread::sleep_for(milliseconds(20));
    }
}

StreamRecord StreamCallers::callForStream(Caller &caller)
{
    StreamRecord record;
    std::size_t instance = caller.random() % caller.connections.size();
    int last = 0;
    for (int i = 0; i < MaxAnswers; ++i) {
        StreamAnswer answer;
        answer.lastEvent = last;
        answer.call.id = absl::StrCat(caller.name, "-", caller.requests++);
        answer.call.path = path_;
        CallOptions options;
        options.timeout = BeginTimeout;
        options.deadline = Deadline;
        if (last > 0) {
            options.timeout = TakeUpTimeout;
            options.fields = { { "Last-Event-Id", absl::StrCat(last) },
                               { "Resumes", record.front().call.id } };
        }
        const auto possibleBreaks = static_cast<std::uint32_t>(2 * events_);
        const int breakAfter = last + 1 + static_cast<int>(caller.random() % possibleBreaks);
        options.goesOn = [last, breakAfter](const std::string &body) {
            return last + static_cast<int>(wholeEvents(body).size()) < breakAfter;
        };
        caller.connections[instance]->call(answer.call, options);
        if (answer.call.status == 200)
            last += static_cast<int>(wholeEvents(answer.call.body).size());
        record.push_back(std::move(answer));
        if (last == 0 || last >= events_)
            break;
        instance += 1 + caller.random() % (caller.connections.size() - 1);
        instance %= caller.connections.size();
    }
    return record;
}

std::vector<std::string> checkStreams(const std::vector<StreamRecord> &streams, int events,
                                      const std::vector<standins::EndpointCall> &endpointCalls,
                                      const std::map<std::string, std::string> &versions,
                                      StreamFigures &figures)
{
    std::vector<std::string> violations;
    std::map<std::string, std::string> expectedVersions; // Of the take-ups, by request.
    std::set<std::string> seenVersions;
    for (const StreamRecord &stream : streams) {
        StreamCheck check(events, violations);
        for (const StreamAnswer &answer : stream) {
            const int before = check.last();
            if (answer.lastEvent > 0)
                expectedVersions[answer.call.id] = check.version();
            check.add(answer);
            if (answer.lastEvent == 0)
                continue;
            ++figures.takenUp;
            figures.goneOn += check.last() > before ? 1 : 0;
            figures.rejected += answer.call.status == 503 ? 1 : 0;
        }
        figures.streams += check.last() > 0 ? 1 : 0;
        figures.whole += check.last() == events ? 1 : 0;
        if (check.last() > 0)
            seenVersions.insert(check.version());
    }
    figures.versions = seenVersions.size();
    for (const standins::EndpointCall &call : endpointCalls) {
        const auto expected = expectedVersions.find(call.requestId);
        const auto version = versions.find(call.endpoint);
        if (expected == expectedVersions.end())
            continue;
        if (version == versions.end() || version->second != expected->second) {
            violations.push_back(absl::StrCat(call.requestId, ": taken up at ", call.endpoint,
                                              ", begun at ", expected->second));
        }
    }
    return violations;
}

} // namespace zinniadoor::soak
