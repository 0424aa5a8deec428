#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/gateway/lease_runner.hpp"
#include "zinniadoor/gateway/serving_context.hpp"
#include "zinniadoor/serving/stage_plan.hpp"

namespace zinniadoor::gateway {

/// Everything here must outlive the duty.
struct StageDutyParts
{
    LeaseRunner &lease;
    ServingContext &serving;
};

/// Switches engines between prefill and decode while this instance holds the lease. An engine may
/// still execute an order that got no answer: it gets no other order until that can no longer
/// happen. Event thread only.
class StageDuty
{
public:
    virtual ~StageDuty() = default;
    virtual void start() = 0;
};

std::unique_ptr<StageDuty> makeStageDuty(boost::asio::io_context &context,
                                         const StageDutyParts &parts, const std::string &holder,
                                         const serving::StagePolicy &policy);

} // namespace zinniadoor::gateway
