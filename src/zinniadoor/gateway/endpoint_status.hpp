#pragma once

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Records the status that an endpoint reports in any answer: that it is shutting down, or that it
/// requests a back-off. `called` is the endpoint to which the request was addressed.
void noteEndpointStatus(ServingContext &context, const base::EndpointId &called,
                        const AnswerFacts &facts);

} // namespace zinniadoor::gateway
