#pragma once

#include <cstdint>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::daemon {

enum class ModelCallKind { Chat, Completion };

const char *pathOf(ModelCallKind kind);

/// Route name in objectives and metrics.
const char *routeNameOf(ModelCallKind kind);

/// A validated model call of a caller.
struct ModelCall
{
    ModelCallKind kind = ModelCallKind::Chat;
    base::ModelId model;
    bool stream = false;
    bool urgent = true;
    std::uint32_t maxTokens = 0;
    absl::Duration deadline; ///< For the first token; zero if the caller gave none.
    std::string promptText; ///< All prompt text in order, for estimates and digests.
    std::string engineBody; ///< Caller's JSON with "stream": true and "max_tokens" set.
};

constexpr std::uint32_t DefaultMaxTokens = 16;
constexpr std::uint32_t MaxTokensLimit = 128 * 1024;

/// Parses a request body. Fails with InvalidArgument and a text that names the field.
base::Outcome<ModelCall> parseModelCall(ModelCallKind kind, const std::string &body);

} // namespace zinniadoor::daemon
