#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fleet.hpp"
#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::e2e {

/// An organisation of a test and the secret key of its caller.
struct TestOrganisation
{
    std::string id;
    double ratePerSecond = 1000;
    double burst = 1000;
    std::string key = {}; ///< Filled in by the cluster.
    std::string keyId = {}; ///< Filled in by the cluster.
};

/// Stand-ins, daemons and a signed configuration. All processes end with the cluster.
class Cluster
{
public:
    struct Options
    {
        std::size_t daemons = 1;
        Fleet::Options fleet;
        std::vector<TestOrganisation> organisations { { "feathercraft" }, { "nilecrest" } };
        std::string extraBundle; ///< More YAML lines of the bundle, such as "routes: ...".
        std::string
            endpointOptions; ///< More keys of every engine, such as ", checks_fencing: true".
        std::string extraSettings; ///< More YAML lines of every daemon's settings.
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

    /// Starts the daemon's process anew, at the same addresses.
    void restartDaemon(std::size_t index);

    /// Publishes the next version, with the YAML lines changed by `edit`; returns its version.
    std::uint64_t publish(const std::function<std::string(std::string)> &edit = {});

    /// Publishes another successor of the version before, as an operator who lost a race does.
    void republishStale();

    /// Publishes the withdrawal of an organisation's key.
    void withdrawKey(std::size_t organisation);

    /// Appends a record to the log as the operators' tool does; false when the log refused it.
    bool append(const control::Record &record);

    /// True once the daemon's /status shows `key` with this value.
    bool waitForStatus(std::size_t daemon, const std::string &key, const std::string &value);

    /// Waits until all daemons are ready with the version in force.
    bool waitUntilReady();

    /// A chat request of an organisation to a daemon.
    HttpCall chat(std::size_t daemon, std::size_t organisation, const std::string &prompt,
                  int maxTokens, bool stream) const;

    /// Text of the answer's tokens, whole or streamed.
    static std::string textOf(const HttpAnswer &answer);

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
