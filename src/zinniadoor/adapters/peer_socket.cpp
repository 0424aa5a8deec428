#include "zinniadoor/adapters/peer_socket.hpp"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "zinniadoor/base/clock.hpp"

#include "peer_command_queue.hpp"
#include "peer_port.hpp"
#include "socket_address.hpp"

namespace zinniadoor::adapters {

namespace {

using base::Reason;
using base::ReasonCode;
using detail::PeerCallCommand;
using detail::PeerConnection;
using detail::PeerConnectionId;
using detail::PeerReplyCommand;

constexpr int MaxDatagramsPerPoll = 256;
constexpr int MaxAcceptsPerPoll = 32;
constexpr const char *LinkClosed = "the peer link was closed";
constexpr absl::Duration MaxPollInterval = absl::Seconds(1);

/// A call that is queued or has been sent.
struct OpenCall
{
    PeerConnectionId connection = 0;
    std::uint64_t position = 0; ///< Offset of its frame in the connection's outgoing stream.
    absl::Time deadline;
    ports::PeerLink::CallDone done;
};

class PeerSocket : public ports::PeerLink
{
public:
    PeerSocket(const PeerSocketOptions &options, std::unique_ptr<detail::PeerPort> bound,
               ports::PeerHandler &handler)
        : options_(options)
        , bound_(std::move(bound))
        , handler_(handler)
        , commands_(std::make_shared<detail::PeerCommandQueue>(options.maxCalls))
        , thread_([this] { run(); })
    { }

    ~PeerSocket() override
    {
        stopping_ = true;
        commands_->wake();
        thread_.join();
    }

    int port() const override { return bound_->port(); }
    void sendDatagram(const std::string &address, const std::string &bytes) override;
    void call(const std::string &address, std::string bytes, absl::Duration timeout,
              CallDone done) override;

private:
    using Connections = std::map<PeerConnectionId, std::unique_ptr<PeerConnection>>;

    void run();
    void waitForEvents();
    int pollMilliseconds() const;
    void receiveDatagrams();
    void acceptConnections();
    void processCommands();
    void process(PeerCallCommand command);
    void process(PeerReplyCommand command);
    void processEvents(PeerConnectionId id, short events);
    bool receiveFrames(PeerConnection &connection);
    void receiveResponse(const PeerConnection &connection, detail::PeerFrame frame);
    bool receiveCall(PeerConnection &connection, detail::PeerFrame frame);
    void expireTimeouts();
    void endCall(std::uint64_t callId, base::Outcome<std::string> outcome);
    void retire(PeerConnection &connection);
    void closeConnection(PeerConnectionId id, const char *reason);
    void endAllCalls();

    PeerConnection *find(PeerConnectionId id) const;
    base::Outcome<PeerConnection *> connectionTo(const std::string &address);
    PeerConnection &addConnection(int socket);
    bool ensureCapacity(bool accepted);
    bool evictIdlest(bool accepted);

    const PeerSocketOptions options_;
    const std::unique_ptr<detail::PeerPort> bound_;
    ports::PeerHandler &handler_;
    const std::unique_ptr<base::Clock> clock_ = base::systemClock();
    std::atomic<bool> stopping_ { false };

    // Used on the link's thread only:
    Connections connections_;
    std::unordered_map<std::string, PeerConnectionId>
        byAddress_; ///< Connections that accept new calls.
    std::unordered_map<std::uint64_t, OpenCall> calls_;
    std::set<std::pair<absl::Time, std::uint64_t>> deadlines_; ///< Deadlines and ids of `calls_`.
    PeerConnectionId lastConnection_ = 0;
    std::uint64_t lastCall_ = 0;
    std::size_t unansweredCalls_ = 0; ///< Received calls without a reply so far.

    const std::shared_ptr<detail::PeerCommandQueue> commands_;
    std::thread thread_; ///< Last member, since it uses the others.
};

// Sent on the calling thread; a UDP socket may be used concurrently.
void PeerSocket::sendDatagram(const std::string &address, const std::string &bytes)
{
    const auto to = detail::parseAddressAndPort(address);
    if (!to || bytes.size() > MaxDatagramBytes)
        return;
    sendto(bound_->datagrams(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL, to->data(),
           to->length);
}

void PeerSocket::call(const std::string &address, std::string bytes, absl::Duration timeout,
                      CallDone done)
{
    commands_->push(
        PeerCallCommand { address, std::move(bytes), clock_->now() + timeout, std::move(done) });
}

void PeerSocket::run()
{
    while (!stopping_) {
        waitForEvents();
        processCommands();
        expireTimeouts();
    }
    endAllCalls();
}

void PeerSocket::waitForEvents()
{
    std::vector<pollfd> sockets { { commands_->event(), POLLIN, 0 },
                                  { bound_->datagrams(), POLLIN, 0 },
                                  { bound_->listener(), POLLIN, 0 } };
    const std::size_t first = sockets.size();
    std::vector<PeerConnectionId> ids;
    for (const auto &entry : connections_) {
        sockets.push_back({ entry.second->socket(), entry.second->pollEvents(), 0 });
        ids.push_back(entry.first);
    }
    if (poll(sockets.data(), sockets.size(), pollMilliseconds()) <= 0)
        return;
    if (sockets[0].revents != 0)
        commands_->clearWake();
    if (sockets[1].revents != 0)
        receiveDatagrams();
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (sockets[first + i].revents != 0)
            processEvents(ids[i], sockets[first + i].revents);
    }
    if (sockets[2].revents != 0)
        acceptConnections();
}

int PeerSocket::pollMilliseconds() const
{
    absl::Duration wait = MaxPollInterval;
    if (!deadlines_.empty())
        wait = std::min(wait, deadlines_.begin()->first - clock_->now());
    const absl::Duration rounding = absl::Milliseconds(1) - absl::Nanoseconds(1);
    return static_cast<int>(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(wait + rounding)));
}

void PeerSocket::receiveDatagrams()
{
    char buffer[MaxDatagramBytes];
    for (int i = 0; i < MaxDatagramsPerPoll; ++i) {
        detail::SocketAddress from;
        from.length = sizeof(from.storage);
        const ssize_t got = recvfrom(bound_->datagrams(), buffer, sizeof(buffer), MSG_TRUNC,
                                     reinterpret_cast<sockaddr *>(&from.storage), &from.length);
        if (got < 0)
            return;
        const auto size = static_cast<std::size_t>(got);
        if (size <= sizeof(buffer))
            handler_.onDatagram(from.text(), std::string(buffer, size));
    }
}

void PeerSocket::acceptConnections()
{
    for (int i = 0; i < MaxAcceptsPerPoll; ++i) {
        const int socket
            = accept4(bound_->listener(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        // Out of descriptors, the listener would stay readable and the thread would spin.
        if (socket < 0 && (errno == EMFILE || errno == ENFILE) && evictIdlest(true))
            continue;
        if (socket < 0)
            return;
        if (ensureCapacity(true))
            addConnection(socket);
        else
            close(socket);
    }
}

void PeerSocket::processCommands()
{
    while (auto command = commands_->pop())
        std::visit([this](auto &item) { process(std::move(item)); }, *command);
    for (const CallDone &done : commands_->takeRejected())
        done(Reason { ReasonCode::Overloaded, "too many concurrent calls to peers" });
}

void PeerSocket::process(PeerCallCommand command)
{
    const auto reject = [&](ReasonCode code, const char *text) {
        command.done(Reason { code, text });
    };
    if (command.bytes.size() > MaxPeerMessageBytes)
        return reject(ReasonCode::InvalidArgument, "message exceeds the size limit");
    if (calls_.size() >= options_.maxCalls)
        return reject(ReasonCode::Overloaded, "too many concurrent calls to peers");
    const auto found = connectionTo(command.address);
    if (!found)
        return command.done(found.lastReason());
    PeerConnection *connection = *found;
    if (connection->outgoingBytes() + command.bytes.size() > options_.maxOutgoingBytes)
        return reject(ReasonCode::Overloaded, "too many bytes queued for the peer");
    const std::uint64_t id = ++lastCall_;
    const std::uint64_t position = connection->send(id, command.bytes);
    ++connection->openCalls;
    deadlines_.emplace(command.deadline, id);
    calls_.emplace(
        id, OpenCall { connection->id(), position, command.deadline, std::move(command.done) });
    processEvents(connection->id(), POLLOUT);
}

void PeerSocket::process(PeerReplyCommand command)
{
    --unansweredCalls_;
    PeerConnection *connection = find(command.connection);
    if (connection == nullptr)
        return;
    --connection->openCalls;
    if (!command.bytes)
        return;
    const std::size_t size = command.bytes->size();
    const bool fits = size <= MaxPeerMessageBytes
        && connection->outgoingBytes() + size <= options_.maxOutgoingBytes;
    if (!fits) {
        closeConnection(command.connection, "");
        return;
    }
    connection->send(command.callId, *command.bytes);
    processEvents(command.connection, POLLOUT);
}

// Handlers and completion callbacks only queue commands, so `connection` stays valid meanwhile.
void PeerSocket::processEvents(PeerConnectionId id, short events)
{
    PeerConnection *connection = find(id);
    if (connection == nullptr)
        return;
    const bool open = connection->processEvents(events, clock_->now());
    const bool framesValid = receiveFrames(*connection);
    if (!open || !framesValid)
        closeConnection(id, "the connection to the peer was lost");
    else if (connection->retired && connection->openCalls == 0)
        closeConnection(id, "");
}

bool PeerSocket::receiveFrames(PeerConnection &connection)
{
    while (auto frame = connection.nextFrame(clock_->now())) {
        const bool isResponse = !connection.address.empty();
        if (isResponse)
            receiveResponse(connection, std::move(*frame));
        else if (!receiveCall(connection, std::move(*frame)))
            return false;
    }
    return !connection.malformed();
}

// A reply to an unknown call, or to one that has timed out, is ignored.
void PeerSocket::receiveResponse(const PeerConnection &connection, detail::PeerFrame frame)
{
    const auto found = calls_.find(frame.callId);
    if (found != calls_.end() && found->second.connection == connection.id())
        endCall(frame.callId, std::move(frame.payload));
}

bool PeerSocket::receiveCall(PeerConnection &connection, detail::PeerFrame frame)
{
    if (unansweredCalls_ >= options_.maxCalls)
        return false;
    ++unansweredCalls_;
    ++connection.openCalls;
    const auto pending
        = std::make_shared<detail::PendingPeerReply>(commands_, connection.id(), frame.callId);
    handler_.onCall(std::move(frame.payload),
                    [pending](std::string bytes) { pending->send(std::move(bytes)); });
    return true;
}

// A connection on which a call timed out may be dead, so it is retired: new calls open another one.
// Other calls on it keep their own deadlines.
void PeerSocket::expireTimeouts()
{
    const absl::Time now = clock_->now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const std::uint64_t callId = deadlines_.begin()->second;
        const PeerConnectionId id = calls_.at(callId).connection;
        PeerConnection *connection = find(id);
        retire(*connection);
        endCall(callId, Reason { ReasonCode::Timeout, "the peer did not reply in time" });
        if (connection->openCalls == 0)
            closeConnection(id, "");
    }
    std::vector<PeerConnectionId> slow;
    for (const auto &entry : connections_) {
        if (now - entry.second->frameStarted() > options_.messageTimeout)
            slow.push_back(entry.first);
    }
    for (const PeerConnectionId id : slow)
        closeConnection(id, "the peer did not complete a message in time");
}

void PeerSocket::endCall(std::uint64_t callId, base::Outcome<std::string> outcome)
{
    const auto found = calls_.find(callId);
    const OpenCall ended = std::move(found->second);
    calls_.erase(found);
    deadlines_.erase({ ended.deadline, callId });
    if (PeerConnection *connection = find(ended.connection))
        --connection->openCalls;
    ended.done(std::move(outcome));
}

void PeerSocket::retire(PeerConnection &connection)
{
    connection.retired = true;
    const auto current = byAddress_.find(connection.address);
    if (current != byAddress_.end() && current->second == connection.id())
        byAddress_.erase(current);
}

void PeerSocket::closeConnection(PeerConnectionId id, const char *reason)
{
    const auto found = connections_.find(id);
    const std::unique_ptr<PeerConnection> closed = std::move(found->second);
    connections_.erase(found);
    retire(*closed);
    std::vector<std::uint64_t> interrupted;
    for (const auto &entry : calls_) {
        if (entry.second.connection == id)
            interrupted.push_back(entry.first);
    }
    for (const std::uint64_t callId : interrupted) {
        const bool sent = closed->sentBytes() > calls_.at(callId).position;
        endCall(callId,
                Reason { sent ? ReasonCode::OutcomeUnknown : ReasonCode::Unavailable, reason });
    }
}

void PeerSocket::endAllCalls()
{
    while (!connections_.empty())
        closeConnection(connections_.begin()->first, LinkClosed);
    while (auto command = commands_->pop()) {
        if (auto *call = std::get_if<PeerCallCommand>(&*command))
            call->done(Reason { ReasonCode::Unavailable, LinkClosed });
    }
    for (const CallDone &done : commands_->takeRejected())
        done(Reason { ReasonCode::Unavailable, LinkClosed });
}

PeerConnection *PeerSocket::find(PeerConnectionId id) const
{
    const auto found = connections_.find(id);
    return found == connections_.end() ? nullptr : found->second.get();
}

base::Outcome<PeerConnection *> PeerSocket::connectionTo(const std::string &address)
{
    const auto existing = byAddress_.find(address);
    if (existing != byAddress_.end())
        return find(existing->second);
    const auto target = detail::parseAddressAndPort(address);
    if (!target)
        return Reason { ReasonCode::InvalidArgument,
                        "invalid address, expected IP:port: " + address };
    if (!ensureCapacity(false))
        return Reason { ReasonCode::Overloaded, "too many connections to peers" };
    const auto socket = PeerConnection::startConnect(*target);
    if (!socket)
        return socket.lastReason();
    PeerConnection &added = addConnection(*socket);
    added.address = address;
    byAddress_[address] = added.id();
    return &added;
}

PeerConnection &PeerSocket::addConnection(int socket)
{
    const PeerConnectionId id = ++lastConnection_;
    auto added = std::make_unique<PeerConnection>(id, socket, clock_->now());
    return *connections_.emplace(id, std::move(added)).first->second;
}

bool PeerSocket::ensureCapacity(bool accepted)
{
    const auto inDirection
        = [accepted](const auto &entry) { return entry.second->address.empty() == accepted; };
    const auto count = std::count_if(connections_.begin(), connections_.end(), inDirection);
    return static_cast<std::size_t>(count) < options_.maxConnections || evictIdlest(accepted);
}

// Closes the connection of that direction with the oldest receipt among those without open calls.
bool PeerSocket::evictIdlest(bool accepted)
{
    const PeerConnection *idlest = nullptr;
    for (const auto &entry : connections_) {
        const PeerConnection &connection = *entry.second;
        if (connection.address.empty() != accepted || connection.openCalls > 0)
            continue;
        if (idlest == nullptr || connection.lastReceived() < idlest->lastReceived())
            idlest = &connection;
    }
    if (idlest == nullptr)
        return false;
    closeConnection(idlest->id(), "");
    return true;
}

} // namespace

base::Outcome<std::unique_ptr<ports::PeerLink>> openPeerSocket(const PeerSocketOptions &options,
                                                               ports::PeerHandler &handler)
{
    auto bound = detail::bindPeerPort(options);
    if (!bound)
        return bound.lastReason();
    return std::unique_ptr<ports::PeerLink>(
        std::make_unique<PeerSocket>(options, std::move(*bound), handler));
}

} // namespace zinniadoor::adapters
