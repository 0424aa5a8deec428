#pragma once

#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "event_loop.hpp"
#include "scenario.hpp"
#include "virtual_engine.hpp"

namespace zinniadoor::bench {

/// A simulated engine with its endpoint configuration.
struct FleetEngine
{
    control::Endpoint endpoint;
    std::unique_ptr<VirtualEngine> engine;
    bool isChangingRole = false;
    bool isLeaving = false;
};

/// All engines of a scenario.
class VirtualFleet
{
public:
    VirtualFleet(const Scenario &scenario, const Variant &variant, EventLoop &loop);

    FleetEngine &find(const base::EndpointId &id) { return engines_[places_.at(id)]; }
    std::vector<FleetEngine> &all() { return engines_; }
    std::vector<control::Endpoint> endpoints() const;

    /// Whether some engines are currently failing.
    bool isFailing() const { return isFailing_; }
    /// Makes the given share of engines reject all requests, or ends that.
    void setFailing(double share, bool isFailing);

    /// Whether prefill and decode run on different engines.
    bool hasRoles() const { return hasRoles_; }

private:
    std::vector<FleetEngine> engines_;
    absl::flat_hash_map<base::EndpointId, std::size_t> places_;
    bool hasRoles_ = false;
    bool isFailing_ = false;
};

/// The model that all scenarios use.
base::ModelId benchModel();

} // namespace zinniadoor::bench
