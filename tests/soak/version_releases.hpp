#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "standins/fleet_standin.hpp"

namespace zinniadoor::soak {

/// Endpoints of a service that are replaced by ones of a newer version, again and again. Some
/// crash. Instances are frozen or lose the store before many releases, so that they miss their
/// begin.
class VersionReleases
{
public:
    static constexpr char Service[] = "released";

    /// Faults of the instance with this number, which end by themselves.
    struct InstanceFaults
    {
        std::function<void(std::size_t instance, std::chrono::milliseconds time)> freeze;
        std::function<void(std::size_t instance, std::chrono::milliseconds time)> cutFromStore;
    };

    /// Lists the endpoints of the first version. `platform` outlives this object.
    VersionReleases(standins::FleetStandin &platform, std::size_t instances,
                    std::size_t instancesPerDataCentre, std::uint32_t seed, InstanceFaults faults);

    /// Takes the actions that are due. To be called often.
    void step();

    /// Ends the release in progress at once; no other begins. Endpoints that serve remain.
    void stop();

    /// Version of each endpoint that was ever started, by id.
    const std::map<std::string, std::string> &versions() const { return versions_; }
    int count() const { return release_; }

private:
    using Time = std::chrono::steady_clock::time_point;

    struct Endpoint
    {
        std::string id;
        std::string address;
        bool isOld = false; ///< To be replaced by the release in progress.
        bool isDraining = false;
        bool isCrashed = false;
        Time unlistAt = Time::max();
    };

    void harmInstances();
    void beginRelease();
    void replaceSome();
    void startEndpoint();
    void drain(Endpoint &endpoint, Time unlistAt);
    void crashOne();
    void crash(Endpoint &endpoint);
    void unlistDue(Time now);
    std::size_t serving() const;
    std::chrono::milliseconds randomDelay(std::uint32_t minMs, std::uint32_t maxMs);

    standins::FleetStandin &platform_;
    std::size_t instances_;
    std::size_t instancesPerDataCentre_;
    std::mt19937 random_;
    InstanceFaults faults_;
    std::vector<Endpoint> endpoints_;
    std::map<std::string, std::string> versions_;
    std::set<std::string> addresses_; ///< Of all endpoints that were ever started.
    bool isReleasing_ = false;
    Time dueAt_; ///< Next step of the release, or begin of the next one.
    Time harmAt_; ///< Before it.
    int release_ = 0; ///< Number of the newest.
    int started_ = 0;
};

} // namespace zinniadoor::soak
