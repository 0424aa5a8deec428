#include "zinniadoor/control/bundle.hpp"

#include "absl/strings/str_cat.h"

#include "digests.hpp"

namespace zinniadoor::control {

namespace {

constexpr std::size_t MaxCallerKeyBytes = 512;
const std::string CallerKeyPrefix = "zd_";

} // namespace

std::string bundleDigest(const std::string &yaml)
{
    return detail::blake2b(yaml);
}

std::string keyDigest(const std::string &salt, const std::string &secret)
{
    // The length prefix distinguishes ("ab", "c") from ("a", "bc").
    return detail::blake2b(absl::StrCat(salt.size(), ":", salt, secret));
}

base::Outcome<CallerKey> parseCallerKey(const std::string &text)
{
    const base::Reason malformed { base::ReasonCode::Unauthorized, "the key is malformed" };
    if (text.size() > MaxCallerKeyBytes || text.rfind(CallerKeyPrefix, 0) != 0)
        return malformed;
    const std::size_t idStart = CallerKeyPrefix.size();
    const std::size_t separator = text.find('_', idStart);
    if (separator == std::string::npos || separator == idStart || separator + 1 == text.size())
        return malformed;
    return CallerKey { base::KeyId(text.substr(idStart, separator - idStart)),
                       text.substr(separator + 1) };
}

} // namespace zinniadoor::control
