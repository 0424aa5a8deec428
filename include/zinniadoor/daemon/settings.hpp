#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::daemon {

/// An address to listen on. With port 0, the system chooses a free port.
struct ListenAddress
{
    std::string ip;
    int port = 0;
};

/// Another instance as configured in the settings file.
struct PeerSetting
{
    base::InstanceId id;
    base::DataCentreId dataCentre;
    std::string address; ///< IP:port of its peer link.
};

struct LimitSettings
{
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t connections = 0;
    std::size_t activeRequests = 0; ///< Maximum number of requests, queued and running.
    std::size_t pendingBytesPerStream = 0; ///< Buffered for a slow caller before pausing.
    absl::Duration idleTimeout; ///< Of a caller's idle connection.
    absl::Duration requestTimeout; ///< For a caller to send its complete request.
    absl::Duration defaultDeadline; ///< For the first token of a model call that gives none.
    absl::Duration streamSilence; ///< Maximum gap in an endpoint's response.
    absl::Duration drainTimeout; ///< Maximum duration of a graceful shutdown.
};

struct ControlSettings
{
    absl::Duration heartbeat; ///< Between frames appended to the log.
    absl::Duration lease;
    absl::Duration leaseMargin; ///< Allows for clock drift and bytes in transit.
    absl::Duration peerHeartbeat; ///< Between datagrams to a peer.
    absl::Duration peerSilence; ///< After this time without a message, a peer is considered lost.
    absl::Duration attestationTime; ///< Validity of a liveness attestation by a peer.

    /// How long an instance may hold its rate shares by attestations alone, without the log.
    absl::Duration attestationLimit;

    /// After this time without the log and all peers, an instance refuses requests.
    absl::Duration isolation;
    std::int64_t appendsPerSecond = 0; ///< Append budget of the log, over all instances.
    std::int64_t snapshotEveryRecords = 0;
};

/// Planning of engine roles.
struct RoleSettings
{
    absl::Duration changeTime; ///< Time for which an engine is unavailable during a change.
    absl::Duration dwell; ///< Minimum time between changes of an engine.
    absl::Duration horizon; ///< Period within which a change has to pay off.
};

struct PlatformSettings
{
    std::string url; ///< http://IP:port
    absl::Duration timeout;
};

/// Contents of a daemon's settings file.
struct Settings
{
    base::InstanceId instance;
    base::DataCentreId dataCentre;
    ListenAddress callers;
    ListenAddress peers;
    ListenAddress admin;
    std::vector<PeerSetting> configuredPeers;
    PlatformSettings platform;
    LimitSettings limits;
    ControlSettings control;
    RoleSettings roles;
    base::LogOptions log;
};

/// Parses and validates settings. A failed outcome lists all faults with file, line and key.
base::Outcome<Settings> parseSettings(const std::string &yaml, const std::string &file);

/// Reads a file and calls `parseSettings`.
base::Outcome<Settings> loadSettings(const std::string &file);

/// Parses "IP:port"; IPv6 addresses as "[IP]:port".
base::Outcome<ListenAddress> parseAddress(const std::string &text);

} // namespace zinniadoor::daemon
