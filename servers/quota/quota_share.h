#pragma once

#include "servers/shares/roster.h"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>
#include <cstddef>

namespace foxtailtally {

/**
 * The part of every customer's limit that belongs to this process: one part in the number of
 * domains times the members of the domain's roster.
 *
 * During a change of the roster a process uses the smaller of its shares by all versions that may
 * still be in use, and none if one of them lacks it, so the shares in use never sum to more than 1.
 */
class QuotaShare
{
public:
    QuotaShare(RosterMember self, std::size_t domains);

    /** Adopts @p roster unless its version is not higher than the present one. */
    void adopt(const Roster &roster);
    /** @p isPast as for nextRoster(). Call regularly, since the share may grow by it. */
    void update(absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> isPast,
                absl::Time now);

    /** Between 0 and 1. */
    double fraction() const { return this->currentFraction; }
    const std::vector<RosterMember> &members() const { return this->roster.current.members; }

private:
    double fractionIn(const RosterVersion &version) const;
    double smallestFraction() const;

    RosterMember self;
    std::size_t domains;
    Roster roster;
    double currentFraction = 0;
    /** When every process had adopted the present roster; grants made before may be in use. */
    absl::Time settledAt = absl::InfiniteFuture();
};

} // namespace foxtailtally
