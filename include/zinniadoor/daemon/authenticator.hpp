#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"

namespace zinniadoor::daemon {

/// Whose key came with a request.
struct Caller
{
    base::OrganisationId organisation;
    base::KeyId key;
};

/// Finds the organisation of a caller's key in the configuration in force.
class Authenticator
{
public:
    /// Takes over the keys of `bundle`.
    void load(const control::Bundle &bundle);

    /// `authorization`: value of the header, or nullptr. Unauthorized without saying which part
    /// was wrong.
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
