#include "zinniadoor/net/connect_probe.hpp"

#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/net/address.hpp"

namespace zinniadoor::net {

namespace {

using ErrorCode = boost::system::error_code;

struct Probe
{
    explicit Probe(boost::asio::io_context &context)
        : socket(context)
        , timer(context)
    { }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
};

} // namespace

void probeConnect(boost::asio::io_context &context, const std::string &address,
                  absl::Duration timeout, std::function<void(bool connected)> done)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        boost::asio::post(context, [done = std::move(done)] { done(false); });
        return;
    }
    const auto probe = std::make_shared<Probe>(context);
    probe->timer.expires_after(absl::ToChronoMilliseconds(timeout));
    probe->timer.async_wait([probe](ErrorCode error) {
        ErrorCode ignored;
        if (!error)
            probe->socket.close(ignored);
    });
    probe->socket.async_connect(*endpoint, [probe, done = std::move(done)](ErrorCode error) {
        probe->timer.cancel();
        done(!error);
    });
}

} // namespace zinniadoor::net
