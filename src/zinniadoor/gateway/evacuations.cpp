#include "zinniadoor/gateway/evacuations.hpp"

#include <utility>

namespace zinniadoor::gateway {

bool Evacuations::applyNewest(const NewestRecords &newest)
{
    if (era_ && *era_ != newest.end.era)
        unconfirmed_ = dataCentres_;
    era_ = newest.end.era;
    DataCentres listed;
    for (const KeyedRecord &record : newest.records) {
        const auto dataCentre = decoder_.evacuatedDataCentre(record.key);
        if (dataCentre && record.value)
            listed.insert(*dataCentre);
    }
    for (const base::DataCentreId &dataCentre : listed)
        unconfirmed_.erase(dataCentre);
    listed.insert(unconfirmed_.begin(), unconfirmed_.end());
    return std::exchange(dataCentres_, listed) != listed;
}

bool Evacuations::applyRecord(const KeyedRecord &record)
{
    const auto dataCentre = decoder_.evacuatedDataCentre(record.key);
    if (!dataCentre)
        return false;
    unconfirmed_.erase(*dataCentre);
    return record.value ? dataCentres_.insert(*dataCentre).second
                        : dataCentres_.erase(*dataCentre) > 0;
}

} // namespace zinniadoor::gateway
