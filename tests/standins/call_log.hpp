#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "http_server.hpp"

namespace zinniadoor::standins {

/// Milliseconds since the Unix epoch, so that times from several processes can be compared.
std::int64_t unixMs();

/// Progress of an engine's stream and how it ended.
struct StreamOutcome
{
    std::string end = "open"; ///< open, finished, cancelled, cut, left or fault.
    std::int64_t tokensSent = 0;
    std::int64_t firstOffset = 0;
};

/// An order that an engine received, and its outcome.
struct ReceivedOrder
{
    std::string kind;
    std::string argument;
    std::uint64_t fencing = 0;
    std::uint64_t slot = 0;
    std::string outcome = "running"; ///< running, done or refused.
    bool overlapped = false; ///< Received while another order was running.
    std::int64_t openStreams = 0; ///< Streams open on receipt.
};

/// A received call and what became of it.
struct ReceivedCall
{
    Request request;
    std::int64_t atMs = 0;
    int status = 0; ///< 0: no response sent (yet).
    std::string fault; ///< Kind of the fault applied to it; empty: none.
    std::optional<StreamOutcome> stream;
    std::optional<ReceivedOrder> order;
};

/// Log of the most recent calls, bounded in number and bytes. Thread-safe.
class CallLog
{
public:
    /// Records and counts a call; returns its number.
    std::uint64_t add(const Request &request);

    /// Counts a call without recording it.
    void countCall(const Request &request);
    void setStatus(std::uint64_t call, int status);
    void setFault(std::uint64_t call, const std::string &kind);
    void setStream(std::uint64_t call, const StreamOutcome &stream);
    void setOrder(std::uint64_t call, const ReceivedOrder &order);

    /// Recorded calls whose path starts with `pathPrefix`, oldest first.
    nlohmann::json callsToJson(const std::string &pathPrefix) const;

    /// Total number of calls by "METHOD /path".
    nlohmann::json countsToJson() const;

private:
    ReceivedCall *find(std::uint64_t call);

    mutable std::mutex mutex_;
    std::deque<ReceivedCall> calls_;
    std::uint64_t firstNumber_ = 1;
    std::size_t bytes_ = 0;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace zinniadoor::standins
