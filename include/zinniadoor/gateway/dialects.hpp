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

/// Why this instance answers a request itself.
enum class RefusalKind : std::uint8_t {
    Malformed,
    UnknownKey,
    NoRoute,
    OverQuota, ///< Not run.
    NotRun, ///< Not run, and never will be.
    OutcomeUnknown, ///< May have run.
    Harmful, ///< Its like has crashed endpoints.
    TimedOut, ///< May have run; its time is over.
};

/// Lower-case name, for logs.
const char *nameOf(RefusalKind kind);

struct Refusal
{
    RefusalKind kind = RefusalKind::NotRun;
    std::string text;
    std::optional<absl::Duration> retryAfter;
};

/// How callers speak.
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;
    virtual base::Outcome<RequestFacts> decode(const net::Request &request) const = 0;
    virtual net::Response encode(const Refusal &refusal, const RequestFacts *facts) const = 0;

    /// The fields of an endpoint's answer that go to the caller.
    virtual net::ResponseHead forwardedHead(const net::ResponseHead &head) const = 0;
};

/// A prompt that was read by one endpoint and waits to be taken over by another.
struct PromptHandle
{
    std::string address; ///< Of the endpoint that holds it.
    std::string id;
};

/// One sending of a request to an endpoint.
struct Dispatch
{
    const EndpointRecord *endpoint = nullptr;
    absl::Duration timeLeft; ///< After it the endpoint stops.
    base::OrganisationId organisation; ///< Empty on public routes.
    std::optional<int> enginePriority; ///< 0 (first) to 9.
    std::optional<PromptHandle> prompt; ///< Where to fetch the read prompt.
    std::string copyFrom; ///< Address of an engine that holds the prompt's beginning, or nothing.
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller already has.
};

/// What an endpoint's answer says before its body.
struct AnswerFacts
{
    unsigned status = 0;
    bool isSigned = false; ///< By the endpoint; only such an answer goes to a caller.
    bool notRun = false; ///< The endpoint did not run the request.
    bool misdirected = false; ///< Not run: another endpoint, or one that does another part now.
    std::string endpoint; ///< Id of the endpoint that answered, if it says so.
    bool leaving = false; ///< The endpoint is about to end and takes no new work.

    /// The endpoint turned the request away and wants nothing from this instance for this time.
    std::optional<absl::Duration> rest;
};

/// How endpoints are spoken to.
class EndpointDialect
{
public:
    virtual ~EndpointDialect() = default;
    virtual net::Request run(const net::Request &original, const Dispatch &dispatch) const = 0;
    virtual net::Request readPrompt(const net::Request &original,
                                    const Dispatch &dispatch) const = 0;
    virtual net::Request releasePrompt(const PromptHandle &prompt,
                                       const EndpointRecord &endpoint) const = 0;
    virtual net::Request changeStage(const EndpointRecord &endpoint, Stage stage,
                                     const std::string &holder,
                                     std::uint64_t fencingNumber) const = 0;

    virtual AnswerFacts decode(const net::ResponseHead &head) const = 0;

    /// Tells whether an answer is to the request with this id.
    virtual bool answers(const net::ResponseHead &head, const std::string &requestId) const = 0;

    /// Tells whether an answer can be to a request of this instance's own, which has no id.
    virtual bool answersOwnRequest(const net::ResponseHead &head) const = 0;

    /// The handle's id.
    virtual base::Outcome<std::string> decodePromptHandle(const std::string &body) const = 0;
};

} // namespace zinniadoor::gateway
