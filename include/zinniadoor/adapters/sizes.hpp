#pragma once

#include <cstddef>

namespace zinniadoor::adapters {

constexpr std::size_t KibiByte = 1024;
constexpr std::size_t MebiByte = 1024 * KibiByte;

} // namespace zinniadoor::adapters
