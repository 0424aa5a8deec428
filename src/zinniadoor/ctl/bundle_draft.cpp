#include "zinniadoor/ctl/bundle_draft.hpp"

#include <iostream>

#include <yaml-cpp/yaml.h>

#include "absl/strings/str_cat.h"

#include "zinniadoor/ctl/files.hpp"

namespace zinniadoor::ctl {

namespace {

constexpr const char *Organisations = "organisations";

base::Reason organisationNotFound(const std::string &id)
{
    return { base::ReasonCode::NotFound, absl::StrCat("no such organisation: ", id) };
}

void writeRate(YAML::Node organisation, const OrganisationRate &rate)
{
    organisation["rate_per_second"] = rate.perSecond;
    organisation["burst"] = rate.burst;
}

} // namespace

struct BundleDraft::Impl
{
    YAML::Node root;
    std::string file;

    /// Returns an undefined node if there is no such organisation.
    YAML::Node find(const std::string &id) const
    {
        for (YAML::Node item : root[Organisations]) {
            if (item["id"].Scalar() == id)
                return item;
        }
        return YAML::Node(YAML::NodeType::Undefined);
    }
};

base::Outcome<BundleDraft> BundleDraft::parse(const std::string &yaml, const std::string &file)
{
    const base::Outcome<control::Bundle> checked = control::parseBundle(yaml, file);
    if (!checked)
        return checked.lastReason();
    BundleDraft draft;
    draft.impl_ = std::make_shared<Impl>();
    draft.impl_->root = YAML::Load(yaml);
    draft.impl_->file = file;
    return draft;
}

void BundleDraft::makeSuccessor(const std::string &predecessor, std::uint64_t version)
{
    impl_->root["version"] = version;
    impl_->root["predecessor"] = predecessor;
}

base::Status BundleDraft::addOrganisation(const std::string &id, const OrganisationRate &rate)
{
    if (impl_->find(id))
        return base::Reason { base::ReasonCode::Conflict,
                              absl::StrCat("organisation already exists: ", id) };
    YAML::Node organisation;
    organisation["id"] = id;
    writeRate(organisation, rate);
    organisation["keys"] = YAML::Node(YAML::NodeType::Sequence);
    impl_->root[Organisations].push_back(organisation);
    return base::Done {};
}

base::Status BundleDraft::setRate(const std::string &id, const OrganisationRate &rate)
{
    const YAML::Node organisation = impl_->find(id);
    if (!organisation)
        return organisationNotFound(id);
    writeRate(organisation, rate);
    return base::Done {};
}

base::Status BundleDraft::addKey(const std::string &organisation, const control::KeyRecord &key)
{
    YAML::Node found = impl_->find(organisation);
    if (!found)
        return organisationNotFound(organisation);
    YAML::Node entry;
    entry["id"] = key.id.str();
    entry["salt"] = key.salt;
    entry["digest"] = key.digest;
    found["keys"].push_back(entry);
    return base::Done {};
}

base::Outcome<std::string> BundleDraft::yaml() const
{
    const std::string text = YAML::Dump(impl_->root) + "\n";
    const base::Outcome<control::Bundle> checked = control::parseBundle(text, impl_->file);
    if (!checked)
        return checked.lastReason();
    return text;
}

ExitCode saveDraft(const BundleDraft &draft, const std::string &path)
{
    const base::Outcome<std::string> text = draft.yaml();
    if (!text) {
        std::cerr << text.lastReason().text << "\n";
        return ExitCode::Usage;
    }
    const base::Status written = writeFile(path, *text);
    if (written)
        return ExitCode::Ok;
    std::cerr << written.lastReason().text << "\n";
    return ExitCode::Failed;
}

} // namespace zinniadoor::ctl
