#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/gateway/endpoint_record.hpp"

namespace zinniadoor::gateway {

struct DirectoryOptions
{
    absl::Duration suspicion = absl::Seconds(1); ///< First time without work after a failure.
    absl::Duration maxSuspicion = absl::Seconds(8); ///< It doubles up to this.
    std::uint32_t failuresInRow = 2; ///< That start a suspicion.
    absl::Duration shedPause = absl::Milliseconds(100); ///< After the first request turned away.
    absl::Duration maxShedPause = absl::Milliseconds(1600); ///< It doubles up to this.
    absl::Duration maxRest = absl::Hours(24); ///< An endpoint that asks for more is mistaken.
};

/// The endpoints as the platform lists them, and what calls to them have shown since.
/// For one thread.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(const DirectoryOptions &options);

    /// Sets one record; returns whether anything but its age changed.
    bool set(const EndpointRecord &record, absl::Time now);

    /// Removes a record; returns whether there was one.
    bool remove(const base::EndpointId &id);

    const EndpointRecord *find(const base::EndpointId &id) const;

    /// The endpoint of this digest; null if there is none.
    const base::EndpointId *findByDigest(std::uint64_t digest) const;

    /// Endpoints of a service that may be called; suspected ones only if there are no others.
    std::vector<const EndpointRecord *> usable(const std::string &service, absl::Time now) const;
    bool isUsable(const base::EndpointId &id, absl::Time now) const;

    /// Whether calls to the endpoint failed lately, unlike one that only turned requests away.
    bool isSuspected(const base::EndpointId &id, absl::Time now) const;

    /// Whether anything may be sent to the endpoint: it is not about to end, nor has it asked for
    /// a rest. Suspicions and pauses do not count.
    bool mayCall(const base::EndpointId &id, absl::Time now) const;

    /// Whether the endpoint takes work, at once or after a rest.
    bool takesWork(const base::EndpointId &id) const;

    /// When the first of a service's endpoints may be called; nothing if none takes work.
    std::optional<absl::Time> callableFrom(const std::string &service, absl::Time now) const;

    std::vector<const EndpointRecord *> all() const;
    bool empty() const { return entries_.empty(); }

    void noteSuccess(const base::EndpointId &id);

    /// A call got no answer. Returns whether a suspicion begins.
    bool noteFailure(const base::EndpointId &id, absl::Time now);

    /// The endpoint turned a request away; it gets no work for a moment, longer each time in a row.
    void noteShed(const base::EndpointId &id, absl::Time now);

    /// The endpoint asked for a rest: it must get no request at all for this time.
    void noteRestWanted(const base::EndpointId &id, absl::Duration rest, absl::Time now);

    /// The endpoint itself said that it is about to end, which holds until it starts anew.
    /// Returns whether that is news.
    bool noteLeaving(const base::EndpointId &id);

    /// The endpoint should get no work until `until`.
    void pause(const base::EndpointId &id, absl::Time until);

    /// The endpoint itself answers that it does another part now; the list will say so later.
    /// Returns whether its record was changed.
    bool noteOtherStage(const base::EndpointId &id);

    /// Another endpoint answers at its address: it is gone until it is listed anew.
    void noteReplaced(const base::EndpointId &id, absl::Time now);

private:
    struct Entry
    {
        EndpointRecord record;
        std::uint32_t failures = 0; ///< In a row.
        std::uint32_t suspicions = 0; ///< In a row.
        absl::Time suspectedUntil = absl::InfinitePast();
        std::uint32_t sheds = 0; ///< In a row.
        absl::Time pausedUntil = absl::InfinitePast();
        absl::Time replacedAt = absl::InfiniteFuture();
        absl::Time restsUntil = absl::InfinitePast(); ///< At its own wish.
        bool saidLeaving = false;
    };
    static bool isResting(const Entry &entry, absl::Time now)
    {
        return now < entry.suspectedUntil || now < entry.pausedUntil;
    }
    static bool takesWork(const Entry &entry)
    {
        return !entry.record.leaving && !entry.saidLeaving
            && entry.replacedAt == absl::InfiniteFuture();
    }
    static bool mayCall(const Entry &entry, absl::Time now)
    {
        return takesWork(entry) && now >= entry.restsUntil;
    }

    DirectoryOptions options_;
    absl::flat_hash_map<base::EndpointId, Entry> entries_;
    absl::flat_hash_map<std::uint64_t, base::EndpointId> byDigest_;
};

} // namespace zinniadoor::gateway
