#pragma once

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Notes what any answer of an endpoint says of the endpoint itself: that it is about to end, or
/// that it wants a rest. `called` is the endpoint that the request was meant for.
void noteEndpointSigns(ServingContext &context, const base::EndpointId &called,
                       const AnswerFacts &facts);

} // namespace zinniadoor::gateway
