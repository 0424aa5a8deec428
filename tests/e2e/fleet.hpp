#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "http_client.hpp"
#include "process.hpp"

namespace zinniadoor::e2e {

using Arguments = std::vector<std::string>;

/// A stand-in that runs and serves.
class StandinProcess
{
public:
    StandinProcess(std::string id, const std::string &program, const Arguments &arguments);

    const std::string &id() const { return id_; }
    std::uint16_t port() const { return port_; }
    std::string address() const; ///< 127.0.0.1:port
    std::string url(const std::string &path = {}) const;
    Process &process() { return *process_; }

    /// Sets one fault, or several as a list, as in docs/INTERFACES.md.
    void setFaults(const nlohmann::json &faults) const;
    void clearFaults() const;

    /// `GET /received`; `pathPrefix` picks the calls.
    nlohmann::json received(const std::string &pathPrefix = {}) const;

    /// Kills the process and starts it again on the same port, with nothing remembered.
    void restart();

private:
    void start(std::uint16_t port);

    std::string id_;
    std::string program_;
    Arguments arguments_;
    std::uint16_t port_ = 0;
    std::unique_ptr<Process> process_;
};

/// A running zinniadoord.
struct Daemon
{
    std::unique_ptr<Process> process;
    std::string configFile;
    std::string errorFile; ///< Its log.
    std::uint16_t callersPort = 0;
    std::uint16_t adminPort = 0;
    std::uint16_t peersPort = 0;

    std::string callersUrl(const std::string &path = {}) const;
    std::string adminUrl(const std::string &path = {}) const;
};

/// Path of the zinniadoord under test.
std::string daemonProgram();

/// A file with `content` in the test's temporary folder, which goes when the program ends.
std::string writeTemporaryFile(const std::string &name, const std::string &content);

/// Starts a platform, engines and services; all are killed with the fleet.
class Fleet
{
public:
    struct Options
    {
        std::size_t engines = 0;
        std::size_t services = 0;
        Arguments platformArguments;
        Arguments engineArguments; ///< Of each engine.
        Arguments serviceArguments; ///< Of each service.
    };

    Fleet();
    explicit Fleet(const Options &options);

    StandinProcess &platform() { return *platform_; }

    /// Engines are named engine-0, engine-1, ... and services service-0, ...
    StandinProcess &engine(std::size_t index) { return *engines_.at(index); }
    StandinProcess &service(std::size_t index) { return *services_.at(index); }
    std::size_t engineCount() const { return engines_.size(); }
    std::size_t serviceCount() const { return services_.size(); }
    StandinProcess &addEngine(const Arguments &arguments = {});
    StandinProcess &addService(const Arguments &arguments = {});

    /// Sets the platform's instance list.
    void setInstances(const nlohmann::json &instances);

    /// Starts a daemon with these settings and waits until it listens. Its ports stay 0 when it
    /// does not.
    Daemon startDaemon(const std::string &yaml);

private:
    std::unique_ptr<StandinProcess> platform_;
    std::vector<std::unique_ptr<StandinProcess>> engines_;
    std::vector<std::unique_ptr<StandinProcess>> services_;
    std::size_t daemons_ = 0;
};

} // namespace zinniadoor::e2e
