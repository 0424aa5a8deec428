#pragma once

#include <cstdint>
#include <vector>

#include <cereal/types/vector.hpp>

#include "zinniadoor/gateway/process_name.hpp"
#include "zinniadoor/serving/failure_reports.hpp"

namespace zinniadoor::gateway {

/// Compact encoding of `serving::FailureReport`.
struct PackedFailure
{
    std::uint64_t endpoint = 0; ///< Its digest.
    std::uint64_t startTimeMs = 0;
    std::uint8_t kind = 0; ///< A `serving::FailureKind`.
    std::uint64_t reporter = 0;
    std::uint32_t id = 0;
    std::uint16_t ageMs = 0; ///< Without the time in the network.

    static PackedFailure of(const serving::FailureReport &report);
    serving::FailureReport unpacked() const; ///< `kind` must be valid.
    bool isValid() const { return kind <= static_cast<std::uint8_t>(LastKind); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, startTimeMs, kind, reporter, id, ageMs);
    }

private:
    static constexpr serving::FailureKind LastKind = serving::FailureKind::Answered;
};

/// Failures of endpoints that instances have found, each in several messages. A hint, like
/// `PeerMessage`.
struct EndpointFailuresMessage
{
    static constexpr std::uint8_t CurrentFormat
        = 15; ///< Distinct from that of every other message.

    /// Keeps a message below 1,100 bytes.
    static constexpr std::size_t MaxFailures = 32;

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    std::vector<PackedFailure> failures;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, failures);
    }
};

} // namespace zinniadoor::gateway
