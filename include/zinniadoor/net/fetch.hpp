#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/net/http_client.hpp"

namespace zinniadoor::net {

/// An answer read whole.
struct FullResponse
{
    ResponseHead head;
    std::string body;
};

/// The reason's code is OutcomeUnknown if the request may have taken effect, else Unavailable.
using FetchCallback = std::function<void(base::Outcome<FullResponse>)>;

struct FetchOptions
{
    absl::Duration timeout;

    /// See `CallOptions::mayWrite`.
    std::function<bool()> mayWrite;

    /// See `CallOptions::matchesCall`.
    std::function<bool(const ResponseHead &)> matchesCall;
};

/// Sends a request once and reads its whole answer within the timeout. Dropping the returned call
/// does not end it; `cancel` does, and then the callback is not called.
std::shared_ptr<Call> fetch(boost::asio::io_context &context, HttpClient &client,
                            const CallTarget &target, Request request, FetchOptions options,
                            FetchCallback done);
std::shared_ptr<Call> fetch(boost::asio::io_context &context, HttpClient &client,
                            const CallTarget &target, Request request, absl::Duration timeout,
                            FetchCallback done);

} // namespace zinniadoor::net
