#include "zinniadoor/control/bundle.hpp"

#include <array>

#include "absl/strings/str_cat.h"

namespace zinniadoor::control {

namespace {

template <typename Enum>
struct EnumName
{
    Enum value;
    const char *name;
};

constexpr std::array<EnumName<EndpointKind>, 2> EndpointKindNames { {
    { EndpointKind::Engine, "engine" },
    { EndpointKind::Service, "service" },
} };

constexpr std::array<EnumName<Role>, 3> RoleNames { {
    { Role::Mixed, "mixed" },
    { Role::Prefill, "prefill" },
    { Role::Decode, "decode" },
} };

template <typename Enum, std::size_t Size>
const char *nameFor(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const EnumName<Enum> &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

template <typename Enum, std::size_t Size>
base::Outcome<Enum> valueFor(const std::array<EnumName<Enum>, Size> &table, const std::string &name)
{
    std::string allowed;
    for (const EnumName<Enum> &row : table) {
        if (row.name == name)
            return row.value;
        absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", row.name);
    }
    return base::Reason { base::ReasonCode::InvalidArgument, absl::StrCat("is none of ", allowed) };
}

} // namespace

const char *nameOf(EndpointKind kind)
{
    return nameFor(EndpointKindNames, kind);
}

const char *nameOf(Role role)
{
    return nameFor(RoleNames, role);
}

base::Outcome<EndpointKind> endpointKindFrom(const std::string &name)
{
    return valueFor(EndpointKindNames, name);
}

base::Outcome<Role> roleFrom(const std::string &name)
{
    return valueFor(RoleNames, name);
}

} // namespace zinniadoor::control
