#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/gateway/endpoint_failures_message.hpp"
#include "zinniadoor/gateway/report_queue.hpp"
#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Sends and receives reports of failed endpoints: the first at once, then at most one message in
/// each interval.
class FailureLink
{
public:
    using Send = std::function<void(const std::string &bytes)>;

    static constexpr absl::Duration Interval = absl::Milliseconds(100);

    FailureLink(boost::asio::io_context &io, const ProcessName &self, ServingContext &serving,
                Send send);

    /// A report of this instance.
    void announce(const serving::FailureReport &report);

    /// Applies the reports of a message. `forwards`: this instance leads its data centre and passes
    /// on what is new. Returns a failed outcome if the message cannot be decoded.
    base::Status receive(const std::string &bytes, bool forwards);

private:
    void sendDue();
    void apply(const serving::FailureReport &report, bool forwards);
    void noteDisbelieved(const serving::FailureReport &report, const base::EndpointId &endpoint);

    boost::asio::steady_timer timer_;
    ProcessName self_;
    ServingContext &serving_;
    Send send_;
    ReportQueue<serving::FailureReport> queue_;
    bool waiting_ = false; ///< The timer is set.
    absl::Time disbeliefLoggedAt_ = absl::InfinitePast();
};

} // namespace zinniadoor::gateway
