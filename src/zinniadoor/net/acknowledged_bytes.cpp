#include "acknowledged_bytes.hpp"

#include <cstddef>

// netinet/tcp.h, which Asio includes, declares an older tcp_info without tcpi_bytes_acked. The two
// headers conflict, so this function has a translation unit of its own.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace zinniadoor::net {

std::optional<std::uint64_t> acknowledgedBytes(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    constexpr std::size_t Needed
        = offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < Needed)
        return std::nullopt;
    return info.tcpi_bytes_acked;
}

bool hasUnacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace zinniadoor::net
