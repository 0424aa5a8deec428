#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/call_record.hpp"
#include "standins/fleet_standin.hpp"

namespace zinniadoor::soak {

/// An answer to a caller of a stream.
struct StreamAnswer
{
    int lastEvent = 0; ///< Of those that the caller had before; 0: the request began the stream.
    CallRecord call;
};

/// The answers that brought a stream to its caller, from the one with the first event on, in order.
/// A single one if none brought an event.
using StreamRecord = std::vector<StreamAnswer>;

/// Concurrent callers of streams over persistent connections. They break answers off themselves at
/// times. Streams that are not whole are taken up at another instance, with the events received.
class StreamCallers
{
public:
    /// `gateways`: IP:port of each instance, several. `callers`: number of threads. `events`: of a
    /// whole stream.
    StreamCallers(std::vector<std::string> gateways, std::size_t callers, std::uint32_t seed,
                  std::string path, int events);
    ~StreamCallers();
    StreamCallers(const StreamCallers &) = delete;
    StreamCallers &operator=(const StreamCallers &) = delete;

    /// Stops all callers and returns the records of their streams.
    std::vector<StreamRecord> stop();

private:
    struct Caller;
    void run(std::size_t number);
    StreamRecord callForStream(Caller &caller);

    std::vector<std::string> gateways_;
    std::uint32_t seed_;
    std::string path_;
    int events_;
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::vector<StreamRecord> records_;
    std::vector<std::thread> threads_;
};

struct StreamFigures
{
    std::size_t streams = 0; ///< Of which a caller got events.
    std::size_t whole = 0;
    std::size_t takenUp = 0; ///< Requests that take a stream up.
    std::size_t goneOn = 0; ///< Of these: brought at least one event.
    std::size_t rejected = 0; ///< Of these: status 503. The others broke off, or had no answer.
    std::size_t versions = 0; ///< That wrote these streams.
};

/// Violations: events of a stream that do not follow each other or name several versions, answers
/// that are complete but lack events, take-ups sent to endpoints of another version than wrote the
/// events before. `versions`: of each endpoint, by id.
std::vector<std::string> checkStreams(const std::vector<StreamRecord> &streams, int events,
                                      const std::vector<standins::EndpointCall> &endpointCalls,
                                      const std::map<std::string, std::string> &versions,
                                      StreamFigures &figures);

} // namespace zinniadoor::soak
