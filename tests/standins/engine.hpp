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
    bool enforceFencing = true; ///< Reject orders with a stale fencing number.
    std::int64_t roleChangeMs = 0; ///< Duration of an order.
    bool cutStreamsOnRoleChange = false; ///< Abort open streams on a role change.
    std::string crashMarker; ///< The process exits if a prompt contains it; empty: off.
};

/// Stand-in for a model engine: serves completions with the scheduling, KV cache and faults of a
/// real one, and tokens that depend on the prompt and offset alone.
class Engine : public Standin
{
public:
    explicit Engine(EngineOptions options);

protected:
    Response serve(const Call &call) override;
    nlohmann::json received(const Request &request) override;
    bool isRecorded(const Request &request) const override;

private:
    Response complete(const Call &call, bool chat);
    Response startStream(const Call &call, const Prompt &prompt, std::int64_t firstOffset);
    Response reportLoad();
    Response handleOrder(const Call &call);
    ReceivedOrder startOrder(const Call &call, const nlohmann::json &body);
    void executeOrder(const ReceivedOrder &order);
    void finishOrder(const Call &call, ReceivedOrder &order);
    Response cancel(const Call &call);
    Response exportKv(const Call &call);
    Response importKv(const Call &call);
    bool servesModel(const std::string &model);
    void storePrompt(std::deque<std::pair<std::string, std::string>> &list, const std::string &id,
                     const std::string &prompt);
    bool hasImported(const std::string &id, const std::string &prompt);

    const EngineOptions options_;
    PageCache pages_;
    EngineScheduler scheduler_;
    std::mutex mutex_;
    std::set<std::string> models_;
    std::multimap<std::string, std::weak_ptr<EngineStream>> streams_;
    /// Request id and prompt, newest first.
    std::deque<std::pair<std::string, std::string>> prompts_;
    std::deque<std::pair<std::string, std::string>> imported_;
    std::uint64_t highestFencingNumber_ = 0;
    std::int64_t ordersRunning_ = 0;
    std::int64_t roleChangesRunning_ = 0;
    std::int64_t startedStreams_ = 0;
};

} // namespace zinniadoor::standins
