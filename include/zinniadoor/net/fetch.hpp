#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/net/http_client.hpp"
#include "zinniadoor/net/transfer_limit.hpp"

namespace zinniadoor::net {

/// A response with its complete body, unless `FetchOptions` allow less.
struct FullResponse
{
    ResponseHead head;
    std::string body;
    bool wasDeclined = false; ///< `FetchOptions::wantsRest` ended it.
    std::optional<base::Reason> cut; ///< Why the body is incomplete.
};

/// On failure the reason code is OutcomeUnknown if the request may have taken effect, otherwise
/// Unavailable.
using FetchCallback = std::function<void(base::Outcome<FullResponse>)>;

struct FetchOptions
{
    absl::Duration timeout; ///< For the whole exchange, connecting included.
    std::optional<absl::Duration> connectTimeout; ///< For connecting; empty: `timeout`.

    /// The exchange may take longer than the timeout while the response arrives at this pace.
    std::optional<TransferPace> pace;
    bool newConnection = false; ///< See `CallOptions::newConnection`.

    /// The call fails if the body of the response is longer. The longest responses of the platform
    /// are pages of a log, of a little over 1 MiB.
    std::size_t maxBodyBytes = std::size_t { 4 } * 1024 * 1024;

    /// See `CallOptions::mayWrite`.
    std::function<bool()> mayWrite;

    /// See `CallOptions::matchesCall`.
    std::function<bool(const ResponseHead &)> matchesCall;

    /// Called as bytes of the body arrive; false ends the call with what has arrived. Empty: the
    /// whole response is received.
    std::function<bool(const FullResponse &)> wantsRest;

    /// A response that is cut within its body is delivered as far as it arrived.
    bool keepsCutResponse = false;
};

/// `FetchOptions::maxBodyBytes` of calls to endpoints, whose responses to them are short.
constexpr std::size_t MaxEndpointReplyBytes = std::size_t { 64 } * 1024;

/// Sends a request once, without retries, and buffers the complete response. The call continues
/// when the returned pointer is dropped; `Call::cancel` ends it without calling `done`.
std::shared_ptr<Call> fetch(boost::asio::io_context &context, HttpClient &client,
                            const CallTarget &target, Request request, FetchOptions options,
                            FetchCallback done);
std::shared_ptr<Call> fetch(boost::asio::io_context &context, HttpClient &client,
                            const CallTarget &target, Request request, absl::Duration timeout,
                            FetchCallback done);

} // namespace zinniadoor::net
