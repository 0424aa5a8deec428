#pragma once

#include <memory>

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Checks the health of endpoints that broke a connection. An endpoint whose process has crashed
/// refuses connections, so that most results are immediate. `context` must outlive the check.
std::unique_ptr<CrashCheck> makeCrashCheck(ServingContext &context);

} // namespace zinniadoor::gateway
