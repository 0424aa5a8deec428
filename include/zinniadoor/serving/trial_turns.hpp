#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::serving {

struct TrialTurnsOptions
{
    absl::Duration step = absl::Seconds(1); ///< From one instance's turn to the next one's.
    absl::Duration length = absl::Seconds(5); ///< Of a turn.
};

/// Order in which instances may send a request again that all of them refuse: one after the other,
/// so that the first one's news reaches the others before they send it too. Instances that agree on
/// the end of the wait need no messages for it. Not thread-safe.
class TrialTurns
{
public:
    explicit TrialTurns(const TrialTurnsOptions &options = {});

    /// Sets this instance and all instances that may be running, including this one. Until then
    /// this instance counts as the only one.
    void setInstances(const std::string &self, std::vector<std::string> instances);

    /// Whether it is this instance's turn, `waited` after the end of the wait.
    bool isOpen(absl::Duration waited) const;

private:
    TrialTurnsOptions options_;
    std::size_t rank_ = 0;
    std::size_t instances_ = 1;
};

} // namespace zinniadoor::serving
