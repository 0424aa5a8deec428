#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "zinniadoor/gateway/peer_message.hpp"

namespace zinniadoor::gateway {

enum class JournalRecordKind : std::uint8_t {
    Started,
    Stopped,
    Usage, ///< In the journal only.
    Copied, ///< In the log of instances only: it has the starts that were in the journal before.
};

/// One record of the journal, the durable log of instance starts, stops and final usage counts, or
/// of the log of instances.
struct JournalRecord
{
    JournalRecordKind kind = JournalRecordKind::Started;
    ProcessName process;
    std::string address; ///< Started: where the process receives peer messages.
    std::string dataCentre; ///< Started.
    WindowNumber window = 0; ///< Usage.
    UsageCounts counts; ///< Usage: final counts of the process in the window.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, process, address, dataCentre, window, counts);
    }
};

/// Usage counts by window and process, as recorded in the journal. Not thread-safe.
class UsageLedger
{
public:
    /// The first record of a process for a window counts, so repeated appends are idempotent.
    void apply(const JournalRecord &record);

    bool has(WindowNumber window, const ProcessName &process) const;

    /// Sum over all processes; `reported` is used for processes without a journal record.
    UsageCounts sum(WindowNumber window, const std::map<ProcessName, UsageCounts> &reported) const;
    void discardBefore(WindowNumber window);

private:
    std::map<WindowNumber, std::map<ProcessName, UsageCounts>> counts_;
};

} // namespace zinniadoor::gateway
