#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace zinniadoor::soak {

/// Behaviour of the connections through a proxy.
enum class LinkState {
    Good,
    Slow, ///< Bytes are delayed by 40 ms.
    DropRequests, ///< Bytes to the server are discarded.
    DropAnswers, ///< Bytes to the client are discarded.
    Silent, ///< Both are discarded, on new connections as well.
    Refusing, ///< Open and new connections are reset.
};

/// TCP proxy on loopback that injects network faults. Runs on its own thread.
class FaultProxy
{
public:
    explicit FaultProxy(const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;
    void set(LinkState state);

    /// Discards all further bytes of the open connections. New connections are unaffected.
    void silenceOpenConnections();
    void resetOpenConnections();

private:
    struct Connection;
    void accept();

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<LinkState> state_ { LinkState::Good };
    std::set<std::shared_ptr<Connection>> connections_;
    std::thread thread_;
};

} // namespace zinniadoor::soak
