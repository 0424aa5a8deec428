#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"

namespace zinniadoor::daemon {

/// Identity of a caller, established by its API key. Both ids are empty on open routes.
struct Caller
{
    base::OrganisationId organisation;
    base::KeyId key;
};

/// Authenticates callers by the API keys of the active configuration. Not thread-safe.
class Authenticator
{
public:
    /// Replaces all keys by those of `bundle`.
    void load(const control::Bundle &bundle);

    /// `authorization`: value of the header, or nullptr. All failures return the same reason, so
    /// that callers cannot find out which keys exist.
    base::Outcome<Caller> authenticate(const std::string *authorization) const;

private:
    struct Entry
    {
        base::OrganisationId organisation;
        control::KeyRecord record;
    };

    absl::flat_hash_map<base::KeyId, Entry> keys_;
};

} // namespace zinniadoor::daemon
