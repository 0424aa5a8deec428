#include "zinniadoor/ports/caller_server.hpp"

#include "absl/strings/match.h"

namespace zinniadoor::ports {

const std::string *CallerRequest::header(std::string_view name) const
{
    const absl::string_view wanted(name.data(), name.size());
    for (const HttpHeader &header : headers) {
        if (absl::EqualsIgnoreCase(header.name, wanted))
            return &header.value;
    }
    return nullptr;
}

} // namespace zinniadoor::ports
