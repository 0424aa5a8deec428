#pragma once

#include <optional>
#include <string>
#include <utility>

namespace zinniadoor::base {

/// Why an operation gave no value.
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

/// Stable lower-case name of a code, for JSON and logs.
const char *nameOf(ReasonCode code);

/// The last reason an operation failed: a code for programs, a text for people.
struct Reason
{
    ReasonCode code = ReasonCode::Internal;
    std::string text;
};

/// A value, or the last reason why there is none.
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

    /// The reason of a failed outcome; meaningless on success.
    const Reason &lastReason() const { return reason_; }

private:
    std::optional<T> value_;
    Reason reason_;
};

/// Value of an operation that has nothing to return.
struct Done
{ };

using Status = Outcome<Done>;

} // namespace zinniadoor::base
