#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/gateway/crash_report_queue.hpp"
#include "zinniadoor/gateway/process_name.hpp"
#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Sends and receives reports about bodies of requests, which go out without waiting for the next
/// regular message: each instance that does not know of a crash may lose two more endpoints. The
/// first at once, then at most one message in each interval.
class CrashReportLink
{
public:
    using Send = std::function<void(const std::string &bytes)>;

    static constexpr absl::Duration Interval = absl::Milliseconds(200);

    CrashReportLink(boost::asio::io_context &io, const ProcessName &self, ServingContext &serving,
                    Send send);

    /// Reports of this instance.
    void announce(const serving::CrashReports &reports);

    /// Sends what this instance knows, for a peer that has missed earlier reports.
    void resend();

    /// The same, shorter and in one message each, for peers that were cut off.
    void repeat();

    /// Applies the reports of a message. `forwards`: this instance leads its data centre and passes
    /// on what is new. Returns a failed outcome if the message cannot be decoded.
    base::Status receive(const std::string &bytes, bool forwards);

private:
    void sendQueued();
    void sendDue();

    boost::asio::steady_timer timer_;
    ProcessName self_;
    ServingContext &serving_;
    Send send_;
    CrashReportQueue queue_;
    bool waiting_ = false; ///< The timer is set.
};

} // namespace zinniadoor::gateway
