#pragma once

#include <cstdint>
#include <string>

namespace zinniadoor::serving {

/// Section of a prompt that other prompts may share.
struct PromptSegment
{
    std::string id;
    std::uint32_t tokens = 0;
};

} // namespace zinniadoor::serving
