#include "virtual_fleet.hpp"

namespace zinniadoor::bench {

base::ModelId benchModel()
{
    return base::ModelId("bench");
}

VirtualFleet::VirtualFleet(const Scenario &scenario, const Variant &variant, EventLoop &loop)
{
    std::uint32_t number = 0;
    for (const EngineGroup &group : scenario.engines) {
        for (std::uint32_t i = 0; i < group.count; ++i, ++number) {
            FleetEngine engine;
            engine.endpoint.id = base::EndpointId(group.name + "-" + std::to_string(i));
            engine.endpoint.dataCentre = base::DataCentreId(group.dataCentre);
            engine.endpoint.role = group.role;
            if (variant.prefillEngines > 0) {
                engine.endpoint.role = number < variant.prefillEngines ? control::Role::Prefill
                                                                       : control::Role::Decode;
            }
            engine.endpoint.reclaimable = group.reclaimable;
            engine.endpoint.pricePerHour = group.pricePerHour;
            engine.endpoint.slots = scenario.profile.slots;
            engine.endpoint.models = { benchModel() };
            engine.engine
                = std::make_unique<VirtualEngine>(scenario.profile, engine.endpoint.role, loop);
            hasRoles_ = hasRoles_ || engine.endpoint.role != control::Role::Mixed;
            places_[engine.endpoint.id] = engines_.size();
            engines_.push_back(std::move(engine));
        }
    }
}

void VirtualFleet::setFailing(double share, bool isFailing)
{
    isFailing_ = isFailing;
    const auto count = static_cast<std::size_t>(share * static_cast<double>(engines_.size()));
    for (std::size_t i = 0; i < count; ++i)
        engines_[i].engine->setFailing(isFailing);
}

std::vector<control::Endpoint> VirtualFleet::endpoints() const
{
    std::vector<control::Endpoint> endpoints;
    for (const FleetEngine &engine : engines_)
        endpoints.push_back(engine.endpoint);
    return endpoints;
}

} // namespace zinniadoor::bench
