#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/gateway/configuration.hpp"
#include "zinniadoor/gateway/endpoint_record.hpp"
#include "zinniadoor/gateway/request_facts.hpp"
#include "zinniadoor/net/http_client.hpp"
#include "zinniadoor/net/http_server.hpp"

namespace zinniadoor::gateway {

/// Why this instance rejects a request.
enum class RefusalKind : std::uint8_t {
    Malformed,
    UnknownKey,
    NoRoute,
    OverQuota, ///< Not executed.
    NotRun, ///< Not executed by any endpoint.
    OutcomeUnknown, ///< May have been executed.
    Harmful, ///< Requests with the same digest have crashed endpoints.
    TimedOut, ///< Deadline exceeded; may have been executed.
};

/// Lower-case name for logs.
const char *nameOf(RefusalKind kind);

struct Refusal
{
    RefusalKind kind = RefusalKind::NotRun;
    std::string text;
    std::optional<absl::Duration> retryAfter;
};

/// Translates between HTTP messages of callers and the gateway's types.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;
    virtual base::Outcome<RequestFacts> decode(const net::Request &request) const = 0;
    virtual net::Response encode(const Refusal &refusal, const RequestFacts *facts) const = 0;

    /// The header fields of an endpoint's answer that are forwarded to the caller.
    virtual net::ResponseHead forwardedHead(const net::ResponseHead &head) const = 0;
};

/// A prefilled prompt that a prefill engine holds until a decode engine fetches it.
struct PromptHandle
{
    std::string address; ///< Of the prefill engine.
    std::string id;
};

/// Parameters of one attempt to execute a request at an endpoint.
struct Dispatch
{
    const EndpointRecord *endpoint = nullptr;
    absl::Duration timeLeft; ///< The endpoint abandons the request afterwards.
    base::OrganisationId organisation; ///< Empty on public routes.
    std::optional<int> enginePriority; ///< 0 (most urgent) to 9.
    std::optional<PromptHandle> prompt; ///< From which the prefilled prompt is fetched.
    std::string prefixSource; ///< Address of an engine that caches the shared prefix; may be empty.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller received.
};

/// What the gateway needs from the head of an endpoint's answer.
struct AnswerFacts
{
    unsigned status = 0;
    bool isSigned = false; ///< By the endpoint; unsigned answers are not forwarded to callers.
    bool notRun = false; ///< The endpoint did not execute the request.
    bool misdirected = false; ///< Not executed: wrong endpoint, or its stage has changed.
    std::string endpoint; ///< Id of the endpoint that answered; empty if not given.
    bool leaving = false; ///< The endpoint is shutting down and accepts no new work.

    /// The endpoint rejected the request and must get no request from this instance for this
    /// time.
    std::optional<absl::Duration> backOff;

    /// Requests per second that the endpoint accepts from all instances together, for as long as
    /// its answers say so.
    std::optional<double> limit;

    /// For how long the endpoint stays cold; not positive: warm; empty: not stated.
    std::optional<absl::Duration> coldLeft;
};

/// Translates between the gateway's types and HTTP messages of endpoints.
class EndpointDialect
{
public:
    virtual ~EndpointDialect() = default;
    virtual net::Request run(const net::Request &original, const Dispatch &dispatch) const = 0;
    virtual net::Request prefill(const net::Request &original, const Dispatch &dispatch) const = 0;
    virtual net::Request releasePrompt(const PromptHandle &prompt,
                                       const EndpointRecord &endpoint) const = 0;
    virtual net::Request changeStage(const EndpointRecord &endpoint, Stage stage,
                                     const std::string &holder,
                                     std::uint64_t fencingNumber) const = 0;

    virtual AnswerFacts decode(const net::ResponseHead &head) const = 0;

    /// Whether the answer belongs to the request with this id.
    virtual bool answers(const net::ResponseHead &head, const std::string &requestId) const = 0;

    /// Whether the answer is a refusal that does not name its request. A faulty endpoint may repeat
    /// an earlier refusal.
    virtual bool isRefusalWithoutId(const net::ResponseHead &head) const = 0;

    /// Whether the answer can belong to a request that this instance made for itself, without an
    /// id.
    virtual bool answersOwnRequest(const net::ResponseHead &head) const = 0;

    /// Extracts the id of a prompt handle from the body of a prefill answer.
    virtual base::Outcome<std::string> decodePromptHandle(const std::string &body) const = 0;
};

} // namespace zinniadoor::gateway
