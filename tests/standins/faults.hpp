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
    Refuse, ///< 503, or the status set.
    Delay,
    DropAnswer, ///< Takes effect, then closes without an answer.
    Silent, ///< Never answers.
    Vanish, ///< The process exits.
    Mute, ///< Connections open at the time of the fault stay silent for good.
    Truncate, ///< Engine: closes the stream.
    Cross, ///< Engine: echoes a wrong request id.
    Gap, ///< Engine: skips an offset.
    Double, ///< Engine: sends an offset twice.
    Stall, ///< Engine: goes silent within the stream.
};

const char *nameOf(FaultKind kind);

/// One fault as set by `POST /faults`.
struct Fault
{
    std::string path; ///< Prefix of the paths it strikes.
    std::string method; ///< Empty: any.
    std::string contains; ///< Strikes only bodies that contain it; empty: any.
    FaultKind kind = FaultKind::Refuse;
    int status = 503; ///< Refuse: the answer's status.
    std::int64_t delayMs = 0;
    std::optional<std::int64_t> count; ///< How many more calls; absent: until cleared.
    std::int64_t skip = 0; ///< How many more calls to let pass first.
    std::optional<std::int64_t> afterTokens; ///< Tokens of the stream sent before it strikes.
    bool afterEffect = false; ///< Strikes after the call took effect.
    bool clean = false; ///< Truncate: ends the answer as if it were whole.
};

/// The faults in force. Any thread may call.
class FaultList
{
public:
    /// Takes the body of `POST /faults`; the text names what is wrong with it, empty if nothing.
    std::string set(const std::string &body);

    /// The fault that strikes this call, if any; counts it.
    std::optional<Fault> take(const Request &request);

    /// The connection was muted.
    bool isMuted(std::uint64_t connection) const;

    /// Notes that a connection is in use.
    void sawConnection(std::uint64_t connection);

    nlohmann::json toJson() const;

private:
    std::string add(const nlohmann::json &value);

    mutable std::mutex mutex_;
    std::vector<Fault> faults_;
    std::uint64_t newestConnection_ = 0;
    std::uint64_t mutedUpTo_ = 0;
};

} // namespace zinniadoor::standins
