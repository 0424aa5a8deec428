#include "zinniadoor/net/event_loop.hpp"

#include <exception>

#include <boost/asio/post.hpp>

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::net {

bool runEventLoop(boost::asio::io_context &context, const std::function<void()> &onException)
{
    constexpr int MaxExceptions = 100;
    for (int exceptions = 0; exceptions < MaxExceptions;) {
        try {
            context.run();
            return exceptions == 0;
        } catch (const std::exception &error) {
            ++exceptions;
            base::logEvent(base::EventId::EventHandlerFailed, { { "reason", error.what() } });
            boost::asio::post(context, onException);
        }
    }
    return false;
}

} // namespace zinniadoor::net
