#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// Rate limit of an organisation.
struct OrganisationRate
{
    double perSecond = 0; ///< Requests per second, summed over all instances.
    double burst = 0; ///< Requests that may arrive at once.
};

/// An editable copy of a bundle. Edits keep all other values; YAML comments are lost.
class BundleDraft
{
public:
    /// Fails if the bundle is invalid; `file` names it in the error.
    static base::Outcome<BundleDraft> parse(const std::string &yaml, const std::string &file);

    /// Sets the version and the digest of the preceding bundle.
    void makeSuccessor(const std::string &predecessor, std::uint64_t version);

    /// Fails if the organisation exists already.
    base::Status addOrganisation(const std::string &id, const OrganisationRate &rate);

    /// Fails if the organisation does not exist.
    base::Status setRate(const std::string &id, const OrganisationRate &rate);

    /// Fails if the organisation does not exist.
    base::Status addKey(const std::string &organisation, const control::KeyRecord &key);

    /// Serialises the draft; fails if the edits made the bundle invalid.
    base::Outcome<std::string> yaml() const;

private:
    struct Impl;

    BundleDraft() = default;

    std::shared_ptr<Impl> impl_;
};

/// Validates a draft and writes it to a file; prints errors to standard error.
ExitCode saveDraft(const BundleDraft &draft, const std::string &path);

} // namespace zinniadoor::ctl
