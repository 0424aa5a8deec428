#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fleet.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::e2e {

/// The only operator of a test cluster.
constexpr const char *OperatorId = "ama";

/// An organisation and the key that its callers use.
struct TestOrganisation
{
    std::string id;
    double ratePerSecond = 1000;
    double burst = 1000;
    std::string key = {}; ///< With the secret; set by the cluster.
    std::string keyId = {}; ///< Set by the cluster.
};

/// Daemons with a signed configuration and stand-ins for their dependencies. All processes are
/// killed with the cluster.
class Cluster
{
public:
    struct Options
    {
        std::size_t daemons = 1;
        Fleet::Options fleet;
        std::vector<TestOrganisation> organisations { { "feathercraft" }, { "nilecrest" } };
        std::string extraBundle; ///< YAML appended to the bundle, such as "routes: ...".
        std::string
            endpointOptions; ///< Appended to each engine's entry, such as ", checks_fencing: true".
        std::string extraSettings; ///< YAML appended to each daemon's settings.
        std::uint32_t usageWindowSeconds = 2;
    };

    explicit Cluster(const Options &options);

    Fleet &fleet() { return fleet_; }
    Daemon &daemon(std::size_t index) { return daemons_.at(index); }
    std::size_t daemonCount() const { return daemons_.size(); }
    const TestOrganisation &organisation(std::size_t index) const
    {
        return organisations_.at(index);
    }

    const control::KeyPair &operatorKey() const { return operatorKey_; }

    /// Kills the daemon and starts it again; its peer address stays, the other ports may change.
    void restartDaemon(std::size_t index);

    /// Publishes the next version of the bundle, with its YAML modified by `edit`. Returns the
    /// version number.
    std::uint64_t publish(const std::function<std::string(std::string)> &edit = {});

    /// Publishes a second bundle with the current version number and the same predecessor, as an
    /// operator does who published concurrently and came second.
    void republishStale();

    /// Publishes the withdrawal of an organisation's key.
    void withdrawKey(std::size_t organisation);

    /// Appends a record to the log as the operators' tool does. Returns false if the log rejects
    /// it.
    bool append(const control::Record &record);

    /// Waits until the daemon's /status has this value for `key`. Returns false on time-out.
    bool waitForStatus(std::size_t daemon, const std::string &key, const std::string &value);

    /// Waits until all daemons are ready with the latest bundle version.
    bool waitUntilReady();

    /// A chat request to a daemon with the key of an organisation.
    HttpRequest chat(std::size_t daemon, std::size_t organisation, const std::string &prompt,
                     int maxTokens, bool stream) const;

    /// Text of a chat response, streamed or not.
    static std::string textOf(const HttpResponse &response);

private:
    std::string settingsOf(std::size_t index) const;
    std::string bundleText() const;

    Options options_;
    Fleet fleet_;
    control::KeyPair operatorKey_;
    std::vector<TestOrganisation> organisations_;
    std::string organisationLines_;
    std::uint64_t version_ = 0;
    std::string lastDigest_;
    std::string lastText_;
    std::vector<std::uint16_t> peerPorts_;
    std::vector<Daemon> daemons_;
    std::uint64_t lastFrame_ = 0;
};

} // namespace zinniadoor::e2e
