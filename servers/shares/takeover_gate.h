#pragma once

#include "servers/shares/loan_messages.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** One share that an owner has the right to use. */
struct HeldShare
{
    /** Unique for each time the share is acquired from another user. */
    std::uint64_t acquisition = 0;
    absl::Time acquiredAt;
    std::uint32_t index = 0;
    std::uint32_t holders = 1;
    /** Null when what earlier users still run is unknown. */
    const UseStatement *statement = nullptr;
};

/**
 * Withholds units of one backend server that requests of earlier users may still occupy.
 *
 * A request occupies one unit of a share that its owner had when it granted the permit. When the
 * share passes to another user, at most as many of its units are occupied as the former user
 * declares, or as shown by a load report that was taken after the former user's last permits had
 * reached the engine. The number never increases, since no other process grants these units.
 */
class TakeoverGate
{
public:
    /**
     * Records a load report. @p foreign is the reported use minus what certainly belongs to this
     * process; @p takenAt is the earliest time at which the report can have been taken.
     * @p held are the shares in use now. A report may be recorded again with a lower @p foreign.
     */
    void onReport(ServerUse foreign, absl::Time takenAt, std::span<const HeldShare> held,
                  absl::Duration startBound);

    /** Part of @p limit that may be used with @p held. */
    ServerUse usable(ServerUse limit, std::span<const HeldShare> held,
                     const BackendServerId &server, absl::Duration startBound) const;

    /**
     * Upper bound on what earlier users still run on the units of @p held. Returns false when it is
     * unknown.
     */
    bool earlierUseBound(std::span<const HeldShare> held, const BackendServerId &server,
                         absl::Duration startBound, ServerUse &bound) const;

    bool isCleared(const HeldShare &share) const
    {
        return this->cleared.contains(share.acquisition);
    }

    absl::Time lastReportTakenAt() const { return this->reportTakenAt; }

private:
    struct Declared
    {
        std::vector<const HeldShare *> shares;
        ServerUse total;
    };

    Declared declaredUse(std::span<const HeldShare *const> pending,
                         const BackendServerId &server) const;

    absl::Time reportTakenAt = absl::InfinitePast();
    ServerUse reported;
    absl::flat_hash_set<std::uint64_t> cleared;
};

} // namespace foxtailtally
