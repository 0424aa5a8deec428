#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::test {

/// One end of a TCP connection, with raw bytes written and checked by a test.
class ScriptedSocket : public std::enable_shared_from_this<ScriptedSocket>
{
public:
    explicit ScriptedSocket(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    { }

    static std::shared_ptr<ScriptedSocket> connect(boost::asio::io_context &io, std::uint16_t port)
    {
        boost::asio::ip::tcp::socket socket(io);
        socket.connect({ boost::asio::ip::address_v4::loopback(), port });
        auto scripted = std::make_shared<ScriptedSocket>(std::move(socket));
        scripted->read();
        return scripted;
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
        ended_ = true;
    }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
    }
    void shutdownSend()
    {
        boost::system::error_code ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    /// Waits until the peer's TCP stack holds all bytes written here.
    void awaitDelivery()
    {
        int undelivered = 1;
        while (undelivered > 0) {
            if (ioctl(socket_.native_handle(), SIOCOUTQ, &undelivered) != 0)
                return;
        }
    }

    const std::string &received() const { return received_; }
    bool has(const std::string &text) const { return received_.find(text) != std::string::npos; }
    bool ended() const { return ended_; }
    void clear() { received_.clear(); }

    void read()
    {
        auto self = shared_from_this();
        socket_.async_read_some(boost::asio::buffer(buffer_),
                                [self](boost::system::error_code error, std::size_t size) {
                                    if (error) {
                                        self->ended_ = true;
                                        return;
                                    }
                                    self->received_.append(self->buffer_.data(), size);
                                    self->read();
                                });
    }

private:
    boost::asio::ip::tcp::socket socket_;
    std::array<char, 16384> buffer_ {};
    std::string received_;
    bool ended_ = false;
};

/// Listens on loopback and keeps the accepted connections for a test.
class ScriptedListener
{
public:
    explicit ScriptedListener(boost::asio::io_context &io)
        : acceptor_(io, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::string address() const { return absl::StrCat("127.0.0.1:", port()); }
    std::size_t count() const { return connections_.size(); }
    ScriptedSocket &connection(std::size_t index) { return *connections_.at(index); }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (error)
                    return;
                connections_.push_back(std::make_shared<ScriptedSocket>(std::move(socket)));
                connections_.back()->read();
                accept();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<ScriptedSocket>> connections_;
};

} // namespace zinniadoor::test
