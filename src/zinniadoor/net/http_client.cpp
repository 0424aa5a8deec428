#include "zinniadoor/net/http_client.hpp"

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include "client_connection.hpp"

namespace zinniadoor::net {

namespace {

class PooledClient : public HttpClient
{
public:
    PooledClient(boost::asio::io_context &context, const HttpClientOptions &options)
        : context_(context)
        , options_(options)
        , pool_(std::make_shared<Pool>())
    { }

    std::shared_ptr<Call> start(const CallTarget &target, Request request, CallOptions options,
                                std::shared_ptr<CallHandler> handler) override
    {
        std::shared_ptr<ClientConnection> connection;
        if (!options.newConnection)
            connection = pool_->take(target, options.identity);
        if (!connection) {
            connection = std::make_shared<ClientConnection>(context_, pool_, target, options_);
            ++opened_;
        }
        connection->run(std::move(request), std::move(options), std::move(handler));
        return connection;
    }

    void closeIdle(const CallTarget &target) override { pool_->closeIdle(target); }

    std::uint64_t connectionsOpened() const override { return opened_; }

private:
    /// Idle connections by target. The most recently used one is taken first, so that surplus
    /// connections reach their idle limit.
    class Pool : public ConnectionOwner
    {
    public:
        std::shared_ptr<ClientConnection> take(const CallTarget &target,
                                               const std::string &identity)
        {
            auto &idle = idle_[keyOf(target)];
            const auto now = std::chrono::steady_clock::now();
            for (std::size_t i = idle.size(); i-- > 0;) {
                if (idle[i]->hasCarried(identity))
                    continue;
                std::shared_ptr<ClientConnection> connection = std::move(idle[i]);
                idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
                if (connection->isUsable(now))
                    return connection;
                connection->close();
            }
            return nullptr;
        }

        void closeIdle(const CallTarget &target)
        {
            const auto found = idle_.find(keyOf(target));
            if (found == idle_.end())
                return;
            const auto idle = std::move(found->second);
            idle_.erase(found); // Closing a connection looks it up here.
            for (const std::shared_ptr<ClientConnection> &connection : idle)
                connection->close();
        }

        void onReusable(const std::shared_ptr<ClientConnection> &connection) override
        {
            idle_[keyOf(connection->target())].push_back(connection);
        }

        void onClosed(const std::shared_ptr<ClientConnection> &connection) override
        {
            const auto found = idle_.find(keyOf(connection->target()));
            if (found == idle_.end())
                return;
            auto &idle = found->second;
            for (auto it = idle.begin(); it != idle.end(); ++it) {
                if (*it == connection) {
                    idle.erase(it);
                    return;
                }
            }
        }

    private:
        static std::string keyOf(const CallTarget &target)
        {
            return absl::StrCat(target.address, "/", target.peer, "/", target.relay);
        }

        absl::flat_hash_map<std::string, std::vector<std::shared_ptr<ClientConnection>>> idle_;
    };

    boost::asio::io_context &context_;
    HttpClientOptions options_;
    std::shared_ptr<Pool> pool_;
    std::uint64_t opened_ = 0;
};

} // namespace

const char *nameOf(CallError error)
{
    switch (error) {
    case CallError::ConnectFailed:
        return "connect_failed";
    case CallError::ConnectionLost:
        return "connection_lost";
    case CallError::Malformed:
        return "malformed";
    case CallError::PermissionRevoked:
        return "withdrawn";
    case CallError::Ambiguous:
        return "ambiguous";
    }
    return "unknown";
}

std::unique_ptr<HttpClient> makeHttpClient(boost::asio::io_context &context,
                                           const HttpClientOptions &options)
{
    return std::make_unique<PooledClient>(context, options);
}

} // namespace zinniadoor::net
