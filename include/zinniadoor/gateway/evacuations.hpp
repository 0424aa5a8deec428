#pragma once

#include <optional>

#include "absl/container/btree_set.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"

namespace zinniadoor::gateway {

/// Data centres to whose endpoints nothing may be sent, as requested by records of the
/// configuration log. The last state stays in force while the store cannot be read. What an older
/// copy of the store lacks does not end an evacuation.
class Evacuations
{
public:
    using DataCentres = absl::btree_set<base::DataCentreId>;

    /// The decoder outlives this object.
    explicit Evacuations(const RecordDecoder &decoder)
        : decoder_(decoder)
    { }

    /// Returns whether the set has changed.
    bool applyNewest(const NewestRecords &newest);
    bool applyRecord(const KeyedRecord &record);

    const DataCentres &dataCentres() const { return dataCentres_; }

private:
    const RecordDecoder &decoder_;
    DataCentres dataCentres_;
    DataCentres unconfirmed_; ///< Known before a restoration of the store, not written since.
    std::optional<StoreEra> era_;
};

} // namespace zinniadoor::gateway
