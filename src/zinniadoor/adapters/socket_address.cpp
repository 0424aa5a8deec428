#include "socket_address.hpp"

#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace zinniadoor::adapters::detail {

namespace {

constexpr int MaxPort = 65535;
constexpr int ListenBacklog = 1024; // connections

} // namespace

int SocketAddress::port() const
{
    if (storage.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6 *>(&storage)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in *>(&storage)->sin_port);
}

std::string SocketAddress::text() const
{
    char buffer[INET6_ADDRSTRLEN] = {};
    if (storage.ss_family == AF_INET6) {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, buffer, sizeof(buffer));
        return absl::StrCat("[", buffer, "]:", port());
    }
    const auto *v4 = reinterpret_cast<const sockaddr_in *>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, buffer, sizeof(buffer));
    return absl::StrCat(buffer, ":", port());
}

std::optional<SocketAddress> parseAddress(const std::string &ip, int port)
{
    if (port < 0 || port > MaxPort)
        return std::nullopt;
    SocketAddress result;
    auto *v4 = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, ip.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(static_cast<std::uint16_t>(port));
        result.length = sizeof(sockaddr_in);
        return result;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, ip.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(static_cast<std::uint16_t>(port));
        result.length = sizeof(sockaddr_in6);
        return result;
    }
    return std::nullopt;
}

std::optional<SocketAddress> parseAddressAndPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    int port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port))
        return std::nullopt;
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    return parseAddress(ip, port);
}

SocketAddress boundAddress(int socket)
{
    SocketAddress result;
    result.length = sizeof(result.storage);
    getsockname(socket, reinterpret_cast<sockaddr *>(&result.storage), &result.length);
    return result;
}

base::Outcome<int> listenTcp(const SocketAddress &address)
{
    const int listener
        = socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (listener < 0)
        return systemReason("socket");
    const int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const bool listens = bind(listener, address.data(), address.length) == 0
        && listen(listener, ListenBacklog) == 0;
    if (listens)
        return listener;
    const base::Reason reason = systemReason(absl::StrCat("listening on ", address.text()));
    close(listener);
    return reason;
}

base::Reason systemReason(const std::string &what)
{
    const std::error_code error(errno, std::generic_category());
    return { base::ReasonCode::Unavailable, absl::StrCat(what, ": ", error.message()) };
}

} // namespace zinniadoor::adapters::detail
