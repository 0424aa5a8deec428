#pragma once

#include <memory>

#include "zinniadoor/gateway/serving_context.hpp"
#include "zinniadoor/net/http_server.hpp"

namespace zinniadoor::gateway {

/// Serves one request until the end of its answer. `context` must outlive the exchange.
void serveRequest(ServingContext &context, net::Request request,
                  std::shared_ptr<net::Responder> responder);

/// Rejects a request with `refusal`, without admission or routing.
void refuseRequest(ServingContext &context, net::Request request,
                   std::shared_ptr<net::Responder> responder, const Refusal &refusal);

} // namespace zinniadoor::gateway
