#include "peer_connection.hpp"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <unistd.h>

#include "zinniadoor/adapters/sizes.hpp"

namespace zinniadoor::adapters::detail {

namespace {

constexpr std::size_t MaxReadBytes = 64 * KibiByte; // per event, for fairness between peers
constexpr int KeepAliveIdleSeconds = 10;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;
constexpr int UnacknowledgedTimeoutMilliseconds = 10'000;

void setOption(int socket, int level, int option, int value)
{
    setsockopt(socket, level, option, &value, sizeof(value));
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

PeerConnection::PeerConnection(PeerConnectionId id, int socket, absl::Time now)
    : id_(id)
    , socket_(socket)
    , lastReceived_(now)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMilliseconds);
}

PeerConnection::~PeerConnection()
{
    close(socket_);
}

base::Outcome<int> PeerConnection::startConnect(const SocketAddress &address)
{
    const int socket
        = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return systemReason("socket");
    if (connect(socket, address.data(), address.length) == 0 || errno == EINPROGRESS)
        return socket;
    const base::Reason reason = systemReason("connecting to " + address.text());
    close(socket);
    return reason;
}

short PeerConnection::pollEvents() const
{
    return static_cast<short>(outgoingBytes() > 0 ? POLLIN | POLLOUT : POLLIN);
}

bool PeerConnection::processEvents(short polledEvents, absl::Time now)
{
    if ((polledEvents & (POLLIN | POLLHUP | POLLERR)) != 0 && !readSome(now))
        return false;
    return (polledEvents & POLLOUT) == 0 || writeSome();
}

std::uint64_t PeerConnection::send(std::uint64_t callId, const std::string &payload)
{
    const std::uint64_t position = queuedBytes_;
    const std::string frame = encodeFrame(callId, payload);
    queuedBytes_ += frame.size();
    outgoing_.append(frame);
    return position;
}

bool PeerConnection::readSome(absl::Time now)
{
    char bytes[MaxReadBytes];
    const ssize_t got = recv(socket_, bytes, sizeof(bytes), 0);
    if (got <= 0)
        return got < 0 && wouldBlock();
    lastReceived_ = now;
    if (!reader_.hasPartialFrame())
        frameStarted_ = now;
    reader_.append(std::string_view(bytes, static_cast<std::size_t>(got)));
    return true;
}

std::optional<PeerFrame> PeerConnection::nextFrame(absl::Time now)
{
    std::optional<PeerFrame> frame = reader_.next();
    if (!reader_.hasPartialFrame())
        frameStarted_ = absl::InfiniteFuture();
    else if (frame)
        frameStarted_ = now;
    return frame;
}

bool PeerConnection::writeSome()
{
    while (!outgoing_.empty()) {
        const std::string_view waiting = outgoing_.view();
        const ssize_t sent = ::send(socket_, waiting.data(), waiting.size(), MSG_NOSIGNAL);
        if (sent < 0)
            return wouldBlock();
        outgoing_.consume(static_cast<std::size_t>(sent));
        sentBytes_ += static_cast<std::uint64_t>(sent);
    }
    return true;
}

} // namespace zinniadoor::adapters::detail
