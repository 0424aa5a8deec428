#include "zinniadoor/daemon/authenticator.hpp"

#include <sodium.h>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace zinniadoor::daemon {

namespace {

constexpr const char *BearerPrefix = "bearer ";
constexpr std::size_t BearerPrefixLength = 7;

bool equalInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

void Authenticator::load(const control::Bundle &bundle)
{
    keys_.clear();
    for (const control::Organisation &organisation : bundle.organisations) {
        for (const control::KeyRecord &record : organisation.keys)
            keys_[record.id] = Entry { organisation.id, record };
    }
}

base::Outcome<Caller> Authenticator::authenticate(const std::string *authorization) const
{
    const base::Reason refused { base::ReasonCode::Unauthorized,
                                 "the key is missing or not valid" };
    if (authorization == nullptr || !absl::StartsWithIgnoreCase(*authorization, BearerPrefix))
        return refused;
    const std::string token(absl::StripAsciiWhitespace(authorization->substr(BearerPrefixLength)));
    const base::Outcome<control::CallerKey> key = control::parseCallerKey(token);
    if (!key)
        return refused;
    const auto found = keys_.find(key->id);
    if (found == keys_.end())
        return refused;
    const control::KeyRecord &record = found->second.record;
    if (!equalInConstantTime(control::keyDigest(record.salt, key->secret), record.digest))
        return refused;
    return Caller { found->second.organisation, record.id };
}

} // namespace zinniadoor::daemon
