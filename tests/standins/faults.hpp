#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "http_server.hpp"

namespace zinniadoor::standins {

enum class FaultKind {
    Refuse, ///< Responds with 503, or with the configured status.
    Delay, ///< Delays the call or its response.
    DropAnswer, ///< Executes the call, then closes the connection without a response.
    Silent, ///< Never responds.
    Vanish, ///< The process exits.
    Mute, ///< Connections open when the fault is set stay silent until faults are cleared.
    Truncate, ///< Engine: closes the stream early.
    Cross, ///< Engine: echoes a wrong request id.
    Gap, ///< Engine: skips an offset.
    Double, ///< Engine: sends an offset twice.
    Stall, ///< Engine: stops sending in mid-stream.
};

const char *nameOf(FaultKind kind);

/// A fault as set by `POST /faults`.
struct Fault
{
    std::string path; ///< Prefix of the paths it applies to.
    std::string method; ///< Empty: any.
    std::string contains; ///< Text in the request body; empty: any.
    FaultKind kind = FaultKind::Refuse;
    int status = 503; ///< Refuse: status of the response.
    std::int64_t delayMs = 0;
    std::optional<std::int64_t> count; ///< Remaining calls; absent: until cleared.
    std::int64_t skip = 0; ///< Remaining calls to let pass first.
    std::optional<std::int64_t> afterTokens; ///< Tokens sent before it applies.
    bool afterEffect = false; ///< Applies after the call was executed.
    bool clean = false; ///< Truncate: ends the response as if it were complete.
};

/// Active faults. Thread-safe.
class FaultList
{
public:
    /// Applies the body of `POST /faults`. Returns an error message; empty on success.
    std::string set(const std::string &body);

    /// Returns the fault for this call, if any, and updates its `skip` and `count`.
    std::optional<Fault> consumeMatching(const Request &request);

    /// Whether a `Mute` fault applies to the connection.
    bool isMuted(std::uint64_t connection) const;

    /// Records a connection as open, for later `Mute` faults.
    void recordConnection(std::uint64_t connection);

    nlohmann::json toJson() const;

private:
    std::string add(const nlohmann::json &value);

    mutable std::mutex mutex_;
    std::vector<Fault> faults_;
    std::uint64_t lastConnection_ = 0;
    std::uint64_t lastMutedConnection_ = 0;
};

} // namespace zinniadoor::standins
