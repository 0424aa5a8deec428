#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace zinniadoor::base {

/// Why an operation failed.
enum class ReasonCode {
    InvalidArgument,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    Gone,
    Overloaded,
    Timeout,
    Unavailable,
    OutcomeUnknown, ///< The operation may or may not have taken effect.
    Internal,
};

/// Stable lower-case name of a code, used in JSON and logs.
const char *nameOf(ReasonCode code);

/// Describes a failure: a code for programs and a text for people.
struct Reason
{
    ReasonCode code = ReasonCode::Internal;
    std::string text;
    std::size_t droppedBytes = 0; ///< Received of an incomplete response, and not used.
};

/// A value, or the reason why there is none.
template <typename T>
class Outcome
{
public:
    Outcome(T value)
        : value_(std::move(value))
    { }
    Outcome(Reason reason)
        : reason_(std::move(reason))
    { }

    bool hasValue() const { return value_.has_value(); }
    explicit operator bool() const { return hasValue(); }

    const T &operator*() const { return *value_; }
    T &operator*() { return *value_; }
    const T *operator->() const { return &*value_; }
    T *operator->() { return &*value_; }

    /// The reason of a failure; unspecified on success.
    const Reason &lastReason() const { return reason_; }

private:
    std::optional<T> value_;
    Reason reason_;
};

/// Value type of operations that return nothing.
struct Done
{ };

using Status = Outcome<Done>;

} // namespace zinniadoor::base
