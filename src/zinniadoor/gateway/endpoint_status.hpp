#pragma once

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Records the status that an endpoint reports in any answer: that it is shutting down, that it
/// requests a back-off, or that it limits the rate of its calls. `called` is the endpoint to which
/// the request was addressed.
void noteEndpointStatus(ServingContext &context, const base::EndpointId &called,
                        const AnswerFacts &facts);

/// Tells other instances that the endpoint has failed.
void reportFailure(ServingContext &context, const base::EndpointId &endpoint,
                   serving::FailureKind kind);

} // namespace zinniadoor::gateway
