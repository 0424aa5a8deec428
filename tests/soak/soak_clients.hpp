#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/call_record.hpp"

namespace zinniadoor::soak {

/// Bodies that clients send again and again; other bodies are sent once.
inline const std::array<std::string, 3> RepeatedQuestions { "question", "question 2",
                                                            "question 3" };

/// Concurrent clients that send random requests over persistent connections.
class SoakClients
{
public:
    /// `gateways`: IP:port of each instance. `clients`: number of threads. `paths`: those
    /// requested.
    SoakClients(std::vector<std::string> gateways, std::size_t clients, std::uint32_t seed,
                std::vector<std::string> paths);
    ~SoakClients();
    SoakClients(const SoakClients &) = delete;
    SoakClients &operator=(const SoakClients &) = delete;

    /// Stops all clients and returns the records of their calls.
    std::vector<CallRecord> stop();

private:
    void run(std::size_t client, std::uint32_t seed);

    std::vector<std::string> gateways_;
    std::vector<std::string> paths_;
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::vector<CallRecord> records_;
    std::vector<std::thread> threads_;
};

} // namespace zinniadoor::soak
