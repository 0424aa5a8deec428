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

/// Milliseconds since 1970, so that times of several stand-ins can be compared.
std::int64_t unixMs();

/// How an engine's stream ended.
struct StreamOutcome
{
    std::string end = "open"; ///< open, finished, cancelled, left or fault.
    std::int64_t tokensSent = 0;
    std::int64_t firstOffset = 0;
};

/// An order that an engine got.
struct ReceivedOrder
{
    std::string kind;
    std::string argument;
    std::uint64_t fencing = 0;
    std::uint64_t slot = 0;
    std::string outcome = "running"; ///< running, done or refused.
    bool overlapped = false; ///< Came while another order was running.
    std::int64_t openStreams = 0; ///< Streams open when it came.
};

/// One call as it was received.
struct ReceivedCall
{
    Request request;
    std::int64_t atMs = 0;
    int status = 0; ///< 0: not answered (yet).
    std::string fault; ///< Kind of the fault that struck it.
    std::optional<StreamOutcome> stream;
    std::optional<ReceivedOrder> order;
};

/// The newest calls, bounded in number and bytes. Any thread may call.
class CallLog
{
public:
    /// Returns the call's number.
    std::uint64_t add(const Request &request);

    /// Counts a call that is not kept.
    void countOnly(const Request &request);
    void setStatus(std::uint64_t call, int status);
    void setFault(std::uint64_t call, const std::string &kind);
    void setStream(std::uint64_t call, const StreamOutcome &stream);
    void setOrder(std::uint64_t call, const ReceivedOrder &order);

    /// The calls whose path begins with `pathPrefix`, oldest first.
    nlohmann::json callsToJson(const std::string &pathPrefix) const;

    /// Number of all calls since the start by "METHOD /path".
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
