#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::gateway {

/// The part of a model call that an endpoint executes.
enum class Stage : std::uint8_t {
    Plain, ///< Not a model server.
    Prefill, ///< Prefills prompts for decode engines.
    Decode, ///< Generates answers; local prefill runs at half the speed of a prefill engine.
};

/// Lower-case name for logs.
const char *nameOf(Stage stage);

/// An endpoint as advertised in its last record.
struct EndpointRecord
{
    base::EndpointId id;
    std::string service;
    std::string address; ///< IP:port.
    std::string version; ///< Of its software; empty if not stated.
    base::DataCentreId dataCentre;
    std::uint32_t slots = 1;
    Stage stage = Stage::Plain;
    bool leaving = false; ///< Shutting down; accepts no new work.
    bool reclaimable = false; ///< Spot capacity: may be revoked at short notice.
    std::optional<absl::Duration> timeLeft; ///< Until a leaving endpoint stops, if known.
    std::optional<absl::Duration> coldLeft; ///< Not positive: warm; empty: not stated.
    std::uint64_t startTimeMs = 0; ///< Process start, Unix milliseconds; 0 if unknown.
};

/// Stable digest that identifies an endpoint in messages between instances.
std::uint64_t digestOf(const base::EndpointId &endpoint);

/// Compares all fields but `id` and `timeLeft`; of `coldLeft`, whether `after` states coldness or
/// warmth that `before` does not imply.
bool equalExceptTimeLeft(const EndpointRecord &before, const EndpointRecord &after);

} // namespace zinniadoor::gateway
