#include "zinniadoor/gateway/engine_list.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

serving::EngineInfo engineInfo(const EndpointRecord &record, const Configuration *configuration)
{
    serving::EngineInfo engine;
    engine.id = record.id;
    engine.dataCentre = record.dataCentre;
    engine.service = record.service;
    engine.isPrefillEngine = record.stage == Stage::Prefill;
    engine.slots = record.slots;
    const Service *service = configuration ? configuration->findService(record.service) : nullptr;
    if (service && service->engine) {
        engine.kvTokens = service->engine->kvTokens;
        engine.copyTokensPerMs = service->engine->copyTokensPerMs;
    }
    return engine;
}

} // namespace

std::vector<serving::EngineInfo> enginesOf(const ServingContext &context)
{
    std::vector<serving::EngineInfo> engines;
    for (const EndpointRecord *record : context.directory.all()) {
        if (record->stage != Stage::Plain && context.directory.acceptsWork(record->id))
            engines.push_back(engineInfo(*record, context.configuration.get()));
    }
    std::sort(engines.begin(), engines.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    return engines;
}

} // namespace zinniadoor::gateway
