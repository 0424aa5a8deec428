#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "zinniadoor/gateway/peer_message.hpp"

namespace zinniadoor::gateway {

enum class JournalKind : std::uint8_t { Started, Stopped, Usage };

/// One record of the journal, the log in which instances say what others must know for certain.
struct JournalRecord
{
    JournalKind kind = JournalKind::Started;
    ProcessName process;
    std::string address; ///< Started: for peers' messages.
    std::string dataCentre; ///< Started.
    WindowNumber window = 0; ///< Usage.
    UsageCounts counts; ///< Usage: final counts of that process in that window.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, process, address, dataCentre, window, counts);
    }
};

/// Usage counts by window and process, as the journal has them. For one thread.
class UsageLedger
{
public:
    /// The first record of a process for a window counts; a repeated append changes nothing.
    void apply(const JournalRecord &record);

    bool has(WindowNumber window, const ProcessName &process) const;

    /// Sum over all processes; `heard` stands in for processes without a record.
    UsageCounts sum(WindowNumber window, const std::map<ProcessName, UsageCounts> &heard) const;
    void forgetBefore(WindowNumber window);

private:
    std::map<WindowNumber, std::map<ProcessName, UsageCounts>> counts_;
};

} // namespace zinniadoor::gateway
