#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "soak/call_record.hpp"

namespace zinniadoor::soak {

struct CallOptions
{
    std::chrono::milliseconds timeout { 1500 };
    std::chrono::milliseconds deadline { 1400 }; ///< As told to the instance.
    std::vector<std::pair<std::string, std::string>> fields {}; ///< Further headers.

    /// Gets the body received so far. If it returns false, the connection is closed.
    std::function<bool(const std::string &body)> goesOn {};
};

/// A persistent connection to an instance; reconnects after failures.
class PersistentConnection
{
public:
    /// `address`: IP:port.
    explicit PersistentConnection(const std::string &address)
        : address_(address)
    { }

    /// Sends the request `record` and fills in its response. Of a response that breaks off, what
    /// was received is kept.
    void call(CallRecord &record, const CallOptions &options = {});

private:
    void connect(std::chrono::milliseconds timeout);

    std::string address_;
    boost::asio::io_context io_;
    std::unique_ptr<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace zinniadoor::soak
