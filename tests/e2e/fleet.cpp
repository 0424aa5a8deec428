#include "fleet.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"

namespace zinniadoor::e2e {
namespace {

[[noreturn]] void fail(const std::string &what)
{
    std::fprintf(stderr, "%s\n", what.c_str());
    std::abort();
}

/// A temporary folder, removed at exit.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "zinniadoor-XXXXXX").string();
        if (!mkdtemp(pattern.data()))
            fail("cannot create a temporary folder");
        path_ = pattern;
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }

    const std::filesystem::path &path() const { return path_; }

private:
    std::filesystem::path path_;
};

const std::filesystem::path &temporaryFolder()
{
    static const TemporaryFolder folder;
    return folder.path();
}

std::uint16_t portOf(const std::optional<std::string> &text)
{
    std::uint32_t port = 0;
    return text && absl::SimpleAtoi(*text, &port) ? static_cast<std::uint16_t>(port) : 0;
}

std::string urlOf(std::uint16_t port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

Arguments joined(const Arguments &first, const Arguments &second)
{
    Arguments out = first;
    out.insert(out.end(), second.begin(), second.end());
    return out;
}

} // namespace

StandinProcess::StandinProcess(std::string id, const std::string &program,
                               const Arguments &arguments)
    : id_(std::move(id))
    , program_(program)
    , arguments_(arguments)
{
    start(0);
}

std::string StandinProcess::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

std::string StandinProcess::url(const std::string &path) const
{
    return urlOf(port_, path);
}

void StandinProcess::setFaults(const nlohmann::json &faults) const
{
    const HttpResponse response = post(url("/faults"), faults.dump());
    if (response.status != 200)
        fail("cannot set faults: " + response.error + response.body);
}

void StandinProcess::clearFaults() const
{
    setFaults({ { "clear", true } });
}

nlohmann::json StandinProcess::received(const std::string &pathPrefix) const
{
    const HttpResponse response = get(url("/received?path=" + pathPrefix));
    if (response.status != 200)
        fail("cannot get the received calls: " + response.error);
    return nlohmann::json::parse(response.body);
}

void StandinProcess::restart()
{
    process_.reset();
    start(port_);
}

void StandinProcess::start(std::uint16_t port)
{
    Process::Options options;
    options.program = program_;
    options.arguments = joined({ "--port", std::to_string(port), "--exit-with-input" }, arguments_);
    process_ = std::make_unique<Process>(options);
    port_ = portOf(process_->waitForLine("port"));
    if (port_ == 0)
        fail(program_ + " did not announce its port");
}

std::string Daemon::callersUrl(const std::string &path) const
{
    return urlOf(callersPort, path);
}

std::string Daemon::adminUrl(const std::string &path) const
{
    return urlOf(adminPort, path);
}

std::string daemonProgram()
{
    return ZINNIADOORD_PATH;
}

std::string writeTemporaryFile(const std::string &name, const std::string &content)
{
    const std::filesystem::path path = temporaryFolder() / name;
    std::ofstream(path) << content;
    return path.string();
}

Fleet::Fleet()
    : Fleet(Options {})
{ }

Fleet::Fleet(const Options &options)
    : platform_(std::make_unique<StandinProcess>("platform", STANDIN_PLATFORM_PATH,
                                                 options.platformArguments))
{
    for (std::size_t i = 0; i < options.engines; ++i)
        addEngine(options.engineArguments);
    for (std::size_t i = 0; i < options.services; ++i)
        addService(options.serviceArguments);
}

StandinProcess &Fleet::addEngine(const Arguments &arguments)
{
    const std::string id = "engine-" + std::to_string(engines_.size());
    engines_.push_back(std::make_unique<StandinProcess>(id, STANDIN_ENGINE_PATH,
                                                        joined({ "--id", id }, arguments)));
    return *engines_.back();
}

StandinProcess &Fleet::addService(const Arguments &arguments)
{
    const std::string id = "service-" + std::to_string(services_.size());
    services_.push_back(std::make_unique<StandinProcess>(id, STANDIN_SERVICE_PATH,
                                                         joined({ "--id", id }, arguments)));
    return *services_.back();
}

void Fleet::setInstances(const nlohmann::json &instances)
{
    const nlohmann::json body { { "instances", instances } };
    if (post(platform_->url("/instances"), body.dump()).status != 200)
        fail("cannot set the instance list");
}

Daemon Fleet::startDaemon(const std::string &yaml)
{
    const std::string name = "daemon-" + std::to_string(daemons_++);
    Daemon daemon;
    daemon.configFile = writeTemporaryFile(name + ".yaml", yaml);
    daemon.errorFile = writeTemporaryFile(name + ".log", "");
    Process::Options options;
    options.program = ZINNIADOORD_PATH;
    options.arguments = { "--config", daemon.configFile };
    options.errorFile = daemon.errorFile;
    daemon.process = std::make_unique<Process>(options);
    daemon.callersPort = portOf(daemon.process->waitForLine("listen callers"));
    daemon.adminPort = portOf(daemon.process->waitForLine("listen admin"));
    daemon.peersPort = portOf(daemon.process->waitForLine("listen peers"));
    return daemon;
}

} // namespace zinniadoor::e2e
