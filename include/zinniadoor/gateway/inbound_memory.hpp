#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/gateway_metrics.hpp"
#include "zinniadoor/net/inbound_bytes.hpp"
#include "zinniadoor/serving/byte_budget.hpp"

namespace zinniadoor::gateway {

/// Owner of the memory for callers' bodies; `serving::ByteBudget` decides. All arguments must
/// outlive it.
std::unique_ptr<net::InboundBytes> makeInboundMemory(boost::asio::io_context &context,
                                                     const base::Clock &clock,
                                                     GatewayMetrics &metrics,
                                                     const serving::ByteBudgetOptions &options);

} // namespace zinniadoor::gateway
