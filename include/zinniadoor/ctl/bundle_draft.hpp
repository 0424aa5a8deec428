#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// What an organisation may use.
struct OrganisationRate
{
    double perSecond = 0; ///< Requests a second over all instances together.
    double burst = 0; ///< Requests at once.
};

/// A bundle file under work. Edits keep all values; comments of the file are lost.
class BundleDraft
{
public:
    /// Fails for a bundle with faults.
    static base::Outcome<BundleDraft> parse(const std::string &yaml, const std::string &file);

    void makeSuccessor(const std::string &predecessor, std::uint64_t version);

    /// Fails for an organisation that is there already, or (the other two) is not there.
    base::Status addOrganisation(const std::string &id, const OrganisationRate &rate);
    base::Status setRate(const std::string &id, const OrganisationRate &rate);
    base::Status addKey(const std::string &organisation, const control::KeyRecord &key);

    /// Fails when the edits made the bundle faulty.
    base::Outcome<std::string> yaml() const;

private:
    struct Impl;

    BundleDraft() = default;

    std::shared_ptr<Impl> impl_;
};

/// Checks and writes a draft; prints a fault itself.
ExitCode saveDraft(const BundleDraft &draft, const std::string &path);

} // namespace zinniadoor::ctl
