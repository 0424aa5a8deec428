#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::daemon {

/// An address to listen on. Port 0 picks a free one.
struct ListenAddress
{
    std::string ip;
    int port = 0;
};

/// Another instance, as far as the settings know it.
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
    std::size_t activeRequests = 0; ///< Requests held at once, queued and running.
    std::size_t pendingBytesPerStream = 0; ///< Held for a slow caller before its source pauses.
    absl::Duration idleTimeout; ///< Of a caller's connection without a request.
    absl::Duration requestTimeout; ///< For a caller to send its whole request.
    absl::Duration defaultDeadline; ///< Of a model call that names none, to its first token.
    absl::Duration streamSilence; ///< Longest gap in an endpoint's answer.
    absl::Duration drainTimeout; ///< Longest planned stop.
};

struct ControlSettings
{
    absl::Duration heartbeat; ///< Between frames appended to the log.
    absl::Duration lease;
    absl::Duration leaseMargin; ///< For clock drift and bytes under way.
    absl::Duration peerHeartbeat; ///< Between datagrams to a peer.
    absl::Duration peerSilence; ///< After which a peer counts as lost.
    absl::Duration vouch; ///< How long one vouch holds.
    absl::Duration vouchLimit; ///< How long attestors keep an instance in office without the log.
    absl::Duration isolation; ///< Without log and peers for this long, an instance refuses.
    std::int64_t appendsPerSecond = 0; ///< The log's budget over all instances.
    std::int64_t snapshotEveryRecords = 0;
};

/// How engines' roles are planned.
struct RoleSettings
{
    absl::Duration changeTime; ///< Engine time lost by one change.
    absl::Duration dwell; ///< Least time between changes of one engine.
    absl::Duration horizon; ///< Time for which a change has to pay.
};

struct PlatformSettings
{
    std::string url; ///< http://IP:port
    absl::Duration timeout;
};

/// Everything a daemon reads from its settings file.
struct Settings
{
    base::InstanceId instance;
    base::DataCentreId dataCentre;
    ListenAddress callers;
    ListenAddress peers;
    ListenAddress admin;
    std::vector<PeerSetting> knownPeers;
    PlatformSettings platform;
    LimitSettings limits;
    ControlSettings control;
    RoleSettings roles;
    base::LogOptions log;
};

/// Reads and checks settings; a failed outcome names every fault with file, line and key.
base::Outcome<Settings> parseSettings(const std::string &yaml, const std::string &file);

/// As `parseSettings`, from a file.
base::Outcome<Settings> loadSettings(const std::string &file);

/// Splits "IP:port"; IPv6 as "[IP]:port".
base::Outcome<ListenAddress> parseAddress(const std::string &text);

} // namespace zinniadoor::daemon
