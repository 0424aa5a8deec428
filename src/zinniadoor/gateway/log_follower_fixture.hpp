#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway::followertest {

/// A log in memory. Records are "key=value", or "key" for a dropped key; a value that starts with
/// '~' is a heartbeat.
class MemoryStore : public LogStore, public RecordDecoder
{
public:
    explicit MemoryStore(boost::asio::io_context &io)
        : io_(io)
    { }

    void append(LogName, const std::vector<std::string> &, std::optional<LogPosition>,
                std::function<void(base::Outcome<AppendResult>)>) override
    { }

    void read(LogName, LogPosition from, absl::Duration wait,
              std::function<void(base::Outcome<LogRecords>)> done) override
    {
        ++reads;
        lastWait = wait;
        if (isSilent)
            return;
        if (down) {
            boost::asio::post(io_, [done] {
                done(base::Reason { base::ReasonCode::Unavailable, "down" });
            });
            return;
        }
        LogRecords result;
        result.first = { storeEra, from.offset };
        result.end = { storeEra, log.size() };
        result.trimmed = from.offset > log.size();
        if (from.offset < firstOffset) { // The store does not tell the end then.
            result.trimmed = true;
            result.first.offset = firstOffset;
            result.end.offset = 0;
        }
        if (!result.trimmed)
            result.records.assign(log.begin() + static_cast<std::ptrdiff_t>(from.offset),
                                  log.end());
        boost::asio::post(io_, [this, done, result] {
            if (beforeAnswer)
                beforeAnswer();
            done(result);
        });
    }

    void readNewest(LogName, std::function<void(base::Outcome<NewestRecords>)> done) override
    {
        std::map<std::string, KeyedRecord> newest;
        for (const std::string &bytes : log) {
            const KeyedRecord record = *keyed(bytes);
            newest[record.key] = record;
        }
        NewestRecords result;
        result.end = { storeEra, log.size() };
        for (const auto &[key, record] : newest) {
            if (record.value)
                result.records.push_back(record);
        }
        boost::asio::post(io_, [done, result] { done(result); });
    }

    StoreEra era() const override { return storeEra; }

    base::Outcome<KeyedRecord> keyed(const std::string &record) const override
    {
        const std::size_t sign = record.find('=');
        if (sign == std::string::npos)
            return KeyedRecord { record, std::nullopt };
        return KeyedRecord { record.substr(0, sign), record.substr(sign + 1) };
    }
    std::string configurationKey() const override { return "configuration"; }
    base::Outcome<Configuration::Parts> configuration(const std::string &) const override
    {
        return base::Reason { base::ReasonCode::InvalidArgument, "no such records" };
    }
    base::Outcome<EndpointRecord> endpoint(const std::string &, const std::string &) const override
    {
        return base::Reason { base::ReasonCode::InvalidArgument, "no such records" };
    }

    std::vector<std::string> log;
    StoreEra storeEra = 0;
    LogOffset firstOffset = 0; ///< Earlier records are only among the newest of their keys.
    int reads = 0;
    absl::Duration lastWait;
    bool down = false;
    bool isSilent = false; ///< Reads of the tail get no answer.
    std::function<void()> beforeAnswer; ///< Called between a read and its answer.

private:
    boost::asio::io_context &io_;
};

/// Keeps the newest value of each key, ignoring heartbeats, and all published parts.
class Listener : public FollowerHandler, public LogRelay
{
public:
    void onNewest(const NewestRecords &newest) override
    {
        values.clear();
        for (const KeyedRecord &record : newest.records)
            onRecord(record);
    }
    bool onRecord(const KeyedRecord &record) override
    {
        if (!record.value)
            return values.erase(record.key) > 0;
        if (record.value->rfind('~', 0) == 0)
            return false;
        values[record.key] = *record.value;
        return true;
    }
    void onCurrent() override { ++current; }
    void onFailure(const base::Reason &) override { ++failures; }
    void onUnreadable(const base::Reason &) override { }
    void publish(const LogPart &part) override
    {
        published.push_back(part);
        if (publishHook)
            publishHook(part);
    }
    std::size_t capacity() const override { return relayCapacity; }

    std::map<std::string, std::string> values;
    std::vector<LogPart> published;
    std::function<void(const LogPart &)> publishHook;
    std::size_t relayCapacity = 100000; ///< Bytes.
    int current = 0;
    int failures = 0;
};

} // namespace zinniadoor::gateway::followertest
