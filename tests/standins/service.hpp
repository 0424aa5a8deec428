#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "standin.hpp"

namespace zinniadoor::standins {

struct ServiceOptions
{
    std::string id = "service";
    std::int64_t delayMs = 0; ///< Between execution and response.
};

/// Stand-in for a plain service that counts the executions of each action.
class Service : public Standin
{
public:
    explicit Service(ServiceOptions options)
        : options_(std::move(options))
    { }

protected:
    Response serve(const Call &call) override;
    nlohmann::json received(const Request &request) override;
    bool isRecorded(const Request &request) const override;

private:
    const ServiceOptions options_;
    std::mutex mutex_;
    std::uint64_t executions_ = 0;
    std::map<std::string, std::uint64_t> executionsByKey_;
};

} // namespace zinniadoor::standins
