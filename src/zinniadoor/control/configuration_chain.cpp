#include "zinniadoor/control/configuration_chain.hpp"

#include "absl/strings/str_cat.h"

namespace zinniadoor::control {

namespace {

constexpr const char *BundleName = "bundle";

base::Reason conflict(std::string text)
{
    return { base::ReasonCode::Conflict, std::move(text) };
}

} // namespace

std::string withdrawalText(const base::KeyId &key, const std::string &digestInForce)
{
    return absl::StrCat("withdraw ", key.str(), " after ", digestInForce);
}

ParsedBundle parsePublished(const BundlePublished &record)
{
    return std::make_shared<const base::Outcome<Bundle>>(parseBundle(record.yaml, BundleName));
}

base::Status ConfigurationChain::apply(const BundlePublished &record,
                                       const base::InstanceId &writer, base::Offset offset,
                                       const ParsedBundle &parsed)
{
    return recordRejection(accept(record, offset, parsed), writer, offset);
}

base::Status ConfigurationChain::apply(const KeyWithdrawn &record, const base::InstanceId &writer,
                                       base::Offset offset)
{
    return recordRejection(accept(record), writer, offset);
}

base::Status ConfigurationChain::accept(const BundlePublished &record, base::Offset offset,
                                        ParsedBundle parsed)
{
    // Signatures are checked first, to avoid parsing unsigned input.
    if (bundle_
        && countValidSignatures(record.yaml, record.signatures, bundle_->operators)
            < bundle_->requiredSignatures)
        return conflict("too few operators of the version in force signed it");
    if (!parsed)
        parsed = parsePublished(record);
    if (!*parsed)
        return parsed->lastReason();
    const Bundle &bundle = **parsed;
    if (bundle.predecessor != digest_)
        return conflict(absl::StrCat("its predecessor is not the version in force, ", version(),
                                     " with digest ", digest_));
    if (bundle.version != version() + 1)
        return conflict(absl::StrCat("its version is not ", version() + 1));
    // The holders of share slots could not map their slots to parts of a rate under another count.
    if (bundle_ && bundle.shareSlots != bundle_->shareSlots)
        return conflict(absl::StrCat("share_slots cannot change; it is ", bundle_->shareSlots));
    if (!bundle_
        && countValidSignatures(record.yaml, record.signatures, bundle.operators)
            < bundle.requiredSignatures)
        return conflict("too few of its own operators signed it");
    published_ = record;
    publishedAt_ = offset;
    digest_ = bundleDigest(record.yaml);
    bundle_ = std::shared_ptr<const Bundle>(parsed, &bundle);
    return base::Done {};
}

base::Status ConfigurationChain::accept(const KeyWithdrawn &record)
{
    if (!bundle_)
        return conflict("no version is in force");
    if (record.text != withdrawalText(record.key, digest_))
        return conflict(absl::StrCat("it does not name the version in force, ", version(),
                                     " with digest ", digest_));
    if (countValidSignatures(record.text, record.signatures, bundle_->operators)
        < bundle_->requiredSignatures)
        return conflict("too few operators of the version in force signed it");
    // PermissionRevoked keys are never removed: a later bundle built from an old draft must not
    // restore a key.
    withdrawn_.insert(record.key);
    return base::Done {};
}

base::Status ConfigurationChain::recordRejection(base::Status status,
                                                 const base::InstanceId &writer,
                                                 base::Offset offset)
{
    if (!status) {
        rejections_.push_back({ offset, writer, status.lastReason().text });
        if (rejections_.size() > MaxRejections)
            rejections_.pop_front();
    }
    return status;
}

const Endpoint *ConfigurationChain::findEndpoint(const base::EndpointId &id) const
{
    if (!bundle_)
        return nullptr;
    for (const Endpoint &endpoint : bundle_->endpoints) {
        if (endpoint.id == id)
            return &endpoint;
    }
    return nullptr;
}

void ConfigurationChain::restore(Bundle bundle)
{
    bundle_.reset();
    digest_.clear();
    if (published_.yaml.empty())
        return;
    bundle_ = std::make_shared<const Bundle>(std::move(bundle));
    digest_ = bundleDigest(published_.yaml);
}

} // namespace zinniadoor::control
