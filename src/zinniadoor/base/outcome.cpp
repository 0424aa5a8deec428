#include "zinniadoor/base/outcome.hpp"

#include <array>

namespace zinniadoor::base {

namespace {

struct ReasonName
{
    ReasonCode code;
    const char *name;
};

constexpr std::array<ReasonName, 11> ReasonNames { {
    { ReasonCode::InvalidArgument, "invalid_argument" },
    { ReasonCode::Unauthorized, "unauthorized" },
    { ReasonCode::Forbidden, "forbidden" },
    { ReasonCode::NotFound, "not_found" },
    { ReasonCode::Conflict, "conflict" },
    { ReasonCode::Gone, "gone" },
    { ReasonCode::Overloaded, "overloaded" },
    { ReasonCode::Timeout, "timeout" },
    { ReasonCode::Unavailable, "unavailable" },
    { ReasonCode::OutcomeUnknown, "outcome_unknown" },
    { ReasonCode::Internal, "internal" },
} };

} // namespace

const char *nameOf(ReasonCode code)
{
    for (const ReasonName &row : ReasonNames) {
        if (row.code == code)
            return row.name;
    }
    return "internal";
}

} // namespace zinniadoor::base
