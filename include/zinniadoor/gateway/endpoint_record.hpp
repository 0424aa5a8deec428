#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::gateway {

/// What part of a model call an endpoint does.
enum class Stage : std::uint8_t {
    Plain, ///< Not a model server.
    Prefill, ///< Reads prompts for others.
    Decode, ///< Writes answers, and can read prompts at half the speed.
};

/// Lower-case name, for logs.
const char *nameOf(Stage stage);

/// An endpoint as it last described itself.
struct EndpointRecord
{
    base::EndpointId id;
    std::string service;
    std::string address; ///< IP:port.
    base::DataCentreId dataCentre;
    std::uint32_t slots = 1;
    Stage stage = Stage::Plain;
    bool leaving = false; ///< Takes no new work.
    bool reclaimable = false; ///< May be taken back at short notice.
    std::optional<absl::Duration> timeLeft; ///< Until a leaving one ends, if known.
    std::uint64_t bornMs = 0; ///< Start of the process, Unix milliseconds; 0 if unknown.
};

/// Short name of an endpoint in messages between instances; the same in every process.
std::uint64_t digestOf(const base::EndpointId &endpoint);

/// Whether the records say the same of an endpoint, but for the time that it has left.
bool sameEndpoint(const EndpointRecord &a, const EndpointRecord &b);

} // namespace zinniadoor::gateway
