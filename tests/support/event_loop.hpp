#pragma once

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace zinniadoor::test {

/// Long enough that a condition which does not hold by then counts as failed.
constexpr std::chrono::seconds EventTimeout(20);

/// Runs the event loop until `condition` holds. Returns false on time-out.
inline bool runUntil(boost::asio::io_context &io, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + EventTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        io.restart();
        io.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// Runs the event loop for a short time, for checks that something does not happen.
inline void runBriefly(boost::asio::io_context &io)
{
    io.restart();
    io.run_for(std::chrono::milliseconds(60));
}

} // namespace zinniadoor::test
