#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "engine_scheduler.hpp"
#include "engine_stream.hpp"
#include "page_cache.hpp"
#include "standin.hpp"

namespace zinniadoor::standins {

struct EngineOptions
{
    std::string id = "engine";
    std::set<std::string> models; ///< Empty: all.
    EngineScheduler::Options scheduler;
    PageCache::Options pages;
    std::int64_t pageTokens = 2000;
    bool checksFencing = true;
    std::int64_t roleChangeMs = 0;
    bool roleChangeCuts = false; ///< A role change cuts the streams that are open.
    std::string crashOn; ///< The process exits when a prompt contains this; empty: never.
};

/// Stand-in for a model engine.
class Engine : public Standin
{
public:
    explicit Engine(EngineOptions options);

protected:
    Response serve(const Call &call) override;
    nlohmann::json received(const Request &request) override;
    bool isKept(const Request &request) const override;

private:
    Response complete(const Call &call, bool chat);
    Response startStream(const Call &call, const Prompt &prompt, std::int64_t firstOffset);
    Response load();
    Response takeOrder(const Call &call);
    ReceivedOrder beginOrder(const Call &call, const nlohmann::json &body);
    void carryOut(const ReceivedOrder &order);
    void endOrder(const Call &call, ReceivedOrder &order);
    Response cancel(const Call &call);
    Response exportKv(const Call &call);
    Response importKv(const Call &call);
    bool servesModel(const std::string &model);
    void keepPrompt(std::deque<std::pair<std::string, std::string>> &list, const std::string &id,
                    const std::string &prompt);
    bool hasImported(const std::string &id, const std::string &prompt);

    const EngineOptions options_;
    PageCache pages_;
    EngineScheduler scheduler_;
    std::mutex mutex_;
    std::set<std::string> models_;
    std::multimap<std::string, std::weak_ptr<EngineStream>> streams_;
    std::deque<std::pair<std::string, std::string>> prompts_; ///< Request id and prompt.
    std::deque<std::pair<std::string, std::string>> imported_;
    std::uint64_t highestFencing_ = 0;
    std::int64_t ordersRunning_ = 0;
    std::int64_t roleChangesRunning_ = 0;
    std::int64_t ran_ = 0;
};

} // namespace zinniadoor::standins
