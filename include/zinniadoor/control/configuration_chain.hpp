#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <cereal/types/deque.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// A rejected configuration record, kept so that the operator who wrote it can look up the reason.
struct Rejection
{
    base::Offset offset = 0;
    base::InstanceId writer;
    std::string reason;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset, writer, reason);
    }
};

/// Number of recent rejections kept.
constexpr std::size_t MaxRejections = 32;

/// Returns the text that operators sign to withdraw a key.
std::string withdrawalText(const base::KeyId &key, const std::string &digestInForce);

/// The result of parsing a bundle's YAML.
using ParsedBundle = std::shared_ptr<const base::Outcome<Bundle>>;

ParsedBundle parsePublished(const BundlePublished &record);

/// The configuration in force: a chain of signed bundles, each of which names its predecessor by
/// digest, and the set of withdrawn keys. The first valid successor in log order is accepted, so
/// the chain never forks and never reverts.
class ConfigurationChain
{
public:
    /// `parsed` is the result of `parsePublished` for the record; if null, the record is parsed
    /// here.
    base::Status apply(const BundlePublished &record, const base::InstanceId &writer,
                       base::Offset offset, const ParsedBundle &parsed = nullptr);
    base::Status apply(const KeyWithdrawn &record, const base::InstanceId &writer,
                       base::Offset offset);

    /// The bundle in force; null if none has been published.
    const std::shared_ptr<const Bundle> &bundle() const { return bundle_; }

    /// The record of the bundle in force, for peers that cannot read the log.
    const BundlePublished &published() const { return published_; }

    /// Version of the bundle in force; 0 if there is none.
    std::uint64_t version() const { return bundle_ ? bundle_->version : 0; }

    /// Digest (hex) of the bundle in force; empty if there is none.
    const std::string &digest() const { return digest_; }

    /// Log offset of the bundle in force.
    base::Offset publishedAt() const { return publishedAt_; }

    bool isWithdrawn(const base::KeyId &key) const { return withdrawn_.count(key) != 0; }
    const std::set<base::KeyId> &withdrawnKeys() const { return withdrawn_; }
    const std::deque<Rejection> &rejections() const { return rejections_; }

    const Endpoint *findEndpoint(const base::EndpointId &id) const;

    template <typename Archive>
    void save(Archive &archive) const
    {
        // Stores the parsed bundle next to its YAML, since parsing a large bundle is slow.
        const Bundle none;
        archive(published_, publishedAt_, withdrawn_, rejections_, bundle_ ? *bundle_ : none);
    }

    template <typename Archive>
    void load(Archive &archive)
    {
        Bundle bundle;
        archive(published_, publishedAt_, withdrawn_, rejections_, bundle);
        restore(std::move(bundle));
    }

private:
    base::Status accept(const BundlePublished &record, base::Offset offset, ParsedBundle parsed);
    base::Status accept(const KeyWithdrawn &record);
    base::Status recordRejection(base::Status status, const base::InstanceId &writer,
                                 base::Offset offset);
    void restore(Bundle bundle);

    BundlePublished published_;
    base::Offset publishedAt_ = 0;
    std::set<base::KeyId> withdrawn_;
    std::deque<Rejection> rejections_;
    std::shared_ptr<const Bundle> bundle_;
    std::string digest_;
};

} // namespace zinniadoor::control
