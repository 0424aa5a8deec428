#pragma once

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace zinniadoor::base {

/// Strongly typed string identifier: ids with different tags are different types.
template <typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : value_(std::move(value))
    { }

    const std::string &str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(const Id &a, const Id &b) { return a.value_ == b.value_; }
    friend bool operator!=(const Id &a, const Id &b) { return a.value_ != b.value_; }
    friend bool operator<(const Id &a, const Id &b) { return a.value_ < b.value_; }
    friend std::ostream &operator<<(std::ostream &out, const Id &id) { return out << id.value_; }

    template <typename H>
    friend H AbslHashValue(H state, const Id &id)
    {
        return H::combine(std::move(state), id.value_);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(value_);
    }

private:
    std::string value_;
};

using InstanceId = Id<struct InstanceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using OrganisationId = Id<struct OrganisationTag>;
using KeyId = Id<struct KeyTag>;
using EndpointId = Id<struct EndpointTag>;
using ModelId = Id<struct ModelTag>;
using RouteId = Id<struct RouteTag>;
using RequestId = Id<struct RequestTag>;

/// Position of a record in the platform's log. The first record has offset 1; 0 means "none".
using Offset = std::uint64_t;

/// Distinguishes successive processes with the same instance id.
using Incarnation = std::uint64_t;

} // namespace zinniadoor::base

template <typename Tag>
struct std::hash<zinniadoor::base::Id<Tag>>
{
    std::size_t operator()(const zinniadoor::base::Id<Tag> &id) const
    {
        return std::hash<std::string> {}(id.str());
    }
};
