#include "soak/soak_clients.hpp"

#include <memory>
#include <random>

#include "absl/strings/str_cat.h"

#include "soak/persistent_connection.hpp"

namespace zinniadoor::soak {

namespace {

/// Most questions are asked again and again, at all instances.
std::string drawQuestion(std::mt19937 &random, const std::string &id)
{
    const std::uint32_t drawn = random() % 4;
    return drawn < RepeatedQuestions.size() ? RepeatedQuestions[drawn]
                                            : absl::StrCat("question of ", id);
}

} // namespace

SoakClients::SoakClients(std::vector<std::string> gateways, std::size_t clients, std::uint32_t seed,
                         std::vector<std::string> paths)
    : gateways_(std::move(gateways))
    , paths_(std::move(paths))
{
    for (std::size_t i = 0; i < clients; ++i)
        threads_.emplace_back([this, i, seed] { run(i, seed); });
}

SoakClients::~SoakClients()
{
    stop();
}

std::vector<CallRecord> SoakClients::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    return records_;
}

void SoakClients::run(std::size_t client, std::uint32_t seed)
{
    std::mt19937 random(seed * 1000 + static_cast<std::uint32_t>(client));
    std::vector<std::unique_ptr<PersistentConnection>> connections;
    for (const std::string &gateway : gateways_)
        connections.push_back(std::make_unique<PersistentConnection>(gateway));
    for (int number = 0; !stopping_; ++number) {
        CallRecord record;
        record.id = absl::StrCat("c", client, "-", number);
        record.path = paths_[random() % paths_.size()];
        record.question = drawQuestion(random, record.id);
        connections[random() % connections.size()]->call(record);
        const std::lock_guard<std::mutex> lock(mutex_);
        records_.push_back(std::move(record));
        if (records_.back().status == 0) // Avoids a busy loop while the instance is down.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace zinniadoor::soak
