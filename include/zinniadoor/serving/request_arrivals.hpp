#pragma once

#include <cstdint>

namespace zinniadoor::serving {

/// Counts the attempts of one request by whether they arrived at an endpoint. Addresses the load of
/// retries after failed connections, which the retry budget forbids although it limits arrivals
/// only. An attempt is a run together with the remote prefill before it.
class RequestArrivals
{
public:
    static constexpr std::uint32_t MaxArrivals = 4;
    static constexpr std::uint32_t MaxUnconnected = 3;
    static constexpr std::uint32_t MaxRelayFailures = 3;

    /// An attempt is sent: it arrives unless `noteUnconnected` follows.
    void noteSent() { ++arrivals_; }

    /// No byte of an attempt was sent.
    void noteUnconnected();

    /// No byte of an attempt was sent, since a relay gave no connection.
    void noteRelayFailed();

    /// The retry budget was charged for an attempt.
    void noteCharged() { ++charges_; }

    /// Whether the next attempt draws on the retry budget. The first arrival is free, and the
    /// charge of an attempt that did not arrive serves for a further one.
    bool nextIsExtra() const { return arrivals_ >= 1 + charges_; }

    bool arrivalsUsedUp() const { return arrivals_ >= MaxArrivals; }
    bool relaysUsedUp() const { return relayFailures_ >= MaxRelayFailures; }
    std::uint32_t unconnected() const { return unconnected_; }
    bool connectionsUsedUp() const { return unconnected_ >= MaxUnconnected; }

private:
    std::uint32_t arrivals_ = 0; ///< Including attempts in progress.
    std::uint32_t unconnected_ = 0;
    std::uint32_t relayFailures_ = 0;
    std::uint32_t charges_ = 0;
};

} // namespace zinniadoor::serving
