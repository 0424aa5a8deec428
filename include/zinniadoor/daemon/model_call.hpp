#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::daemon {

enum class ModelCallKind { Chat, Completion };

const char *pathOf(ModelCallKind kind);

/// Name of the route in objectives and metrics.
const char *routeNameOf(ModelCallKind kind);

/// A caller's model call, checked.
struct ModelCall
{
    ModelCallKind kind = ModelCallKind::Chat;
    base::ModelId model;
    bool stream = false;
    bool urgent = true;
    std::uint32_t maxTokens = 0;
    absl::Duration deadline; ///< To the first token; zero where the caller names none.
    std::string promptText; ///< All prompt text in order, for estimates and digests.
    std::string engineBody; ///< What the engine is sent: the caller's JSON with "stream": true.
};

constexpr std::uint32_t DefaultMaxTokens = 16;
constexpr std::uint32_t MostMaxTokens = 128 * 1024;

/// Reads a caller's body; a failed outcome is InvalidArgument and names the field.
base::Outcome<ModelCall> parseModelCall(ModelCallKind kind, const std::string &body);

} // namespace zinniadoor::daemon
