#pragma once

#include <vector>

#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// The engines of the directory that accept work, by id, with the traits that the configuration in
/// force gives their services.
std::vector<serving::EngineInfo> enginesOf(const ServingContext &context);

} // namespace zinniadoor::gateway
