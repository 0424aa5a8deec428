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

/// A stand-in process that accepts requests.
class StandinProcess
{
public:
    StandinProcess(std::string id, const std::string &program, const Arguments &arguments);

    const std::string &id() const { return id_; }
    std::uint16_t port() const { return port_; }
    std::string address() const; ///< 127.0.0.1:port
    std::string url(const std::string &path = {}) const;
    Process &process() { return *process_; }

    /// Sets one fault, or a list of faults (format: docs/INTERFACES.md).
    void setFaults(const nlohmann::json &faults) const;
    void clearFaults() const;

    /// Result of `GET /received`: the calls received whose path begins with `pathPrefix`.
    nlohmann::json received(const std::string &pathPrefix = {}) const;

    /// Kills the process and starts it again on the same port, without its earlier state.
    void restart();

private:
    void start(std::uint16_t port);

    std::string id_;
    std::string program_;
    Arguments arguments_;
    std::uint16_t port_ = 0;
    std::unique_ptr<Process> process_;
};

/// A running zinniadoord process.
struct Daemon
{
    std::unique_ptr<Process> process;
    std::string configFile;
    std::string errorFile; ///< Standard error: the log.
    std::uint16_t callersPort = 0;
    std::uint16_t adminPort = 0;
    std::uint16_t peersPort = 0;

    std::string callersUrl(const std::string &path = {}) const;
    std::string adminUrl(const std::string &path = {}) const;
};

/// Path of the zinniadoord under test.
std::string daemonProgram();

/// Writes a file to the temporary folder of the test program, which is removed at exit. Returns
/// its path.
std::string writeTemporaryFile(const std::string &name, const std::string &content);

/// Stand-ins of the platform, engines and services. All are killed with the fleet.
class Fleet
{
public:
    struct Options
    {
        std::size_t engines = 0;
        std::size_t services = 0;
        Arguments platformArguments;
        Arguments engineArguments; ///< For each engine.
        Arguments serviceArguments; ///< For each service.
    };

    Fleet();
    explicit Fleet(const Options &options);

    StandinProcess &platform() { return *platform_; }

    /// Engines have the ids engine-0, engine-1, ..., services service-0, ...
    StandinProcess &engine(std::size_t index) { return *engines_.at(index); }
    StandinProcess &service(std::size_t index) { return *services_.at(index); }
    std::size_t engineCount() const { return engines_.size(); }
    std::size_t serviceCount() const { return services_.size(); }
    StandinProcess &addEngine(const Arguments &arguments = {});
    StandinProcess &addService(const Arguments &arguments = {});

    /// Replaces the platform's instance list.
    void setInstances(const nlohmann::json &instances);

    /// Starts a daemon with these settings and waits until it listens. Ports that it does not
    /// announce are 0.
    Daemon startDaemon(const std::string &yaml);

private:
    std::unique_ptr<StandinProcess> platform_;
    std::vector<std::unique_ptr<StandinProcess>> engines_;
    std::vector<std::unique_ptr<StandinProcess>> services_;
    std::size_t daemons_ = 0;
};

} // namespace zinniadoor::e2e
