#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/synchronization/mutex.h"

#include "zinniadoor/adapters/http_server.hpp"

#include "test_sockets.hpp"

namespace zinniadoor::adapters::test {

using Exchange = std::shared_ptr<ports::CallerExchange>;

/// Records the exchanges; the test answers them on its own thread.
class RecordingHandler : public ports::CallerHandler
{
public:
    void onRequest(Exchange exchange) override
    {
        const absl::MutexLock lock(&mutex_);
        exchanges_.push_back(std::move(exchange));
    }
    void onProgress(const Exchange &exchange) override
    {
        ++progress;
        if (exchange->callerDisconnected())
            ++callersGone;
    }

    /// Waits for the request with that index; null after a timeout.
    Exchange waitForRequest(std::size_t index)
    {
        Exchange found;
        eventually([&] {
            const absl::MutexLock lock(&mutex_);
            if (exchanges_.size() > index)
                found = exchanges_[index];
            return found != nullptr;
        });
        return found;
    }

    std::atomic<int> progress { 0 };
    std::atomic<int> callersGone { 0 };

private:
    absl::Mutex mutex_;
    std::vector<Exchange> exchanges_;
};

struct HttpServerFixture
{
    HttpServerFixture()
    {
        options.maxHeaderBytes = 4 * KibiByte;
        options.maxBodyBytes = 64 * KibiByte;
    }

    void listen()
    {
        auto outcome = listenHttp(options, handler);
        BOOST_REQUIRE(outcome.hasValue());
        server = std::move(*outcome);
    }

    TestConnection connect() const { return TestConnection::to(server->port()); }

    HttpServerOptions options;
    RecordingHandler handler;
    std::unique_ptr<ports::CallerServer> server;
};

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace zinniadoor::adapters::test
