#pragma once

#include "servers/shares/roster.h"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>
#include <cstddef>

namespace foxtailtally {

/**
 * The fraction of every customer's limit that belongs to this process: 1 / (number of domains x
 * number of members in the domain's roster).
 *
 * During a change of the roster a process uses the smallest of its fractions in all roster versions
 * that may still be in use, which is zero if one of them does not list it. The fractions in use
 * therefore never sum to more than 1.
 */
class QuotaShare
{
public:
    QuotaShare(RosterMember self, std::size_t domains);

    /** Adopts @p roster if its version is higher than the current one. */
    void adopt(const Roster &roster);
    /** For @p hasRelinquished see nextRoster(). Must be called regularly, since the fraction grows
     * here. */
    void update(
        absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished,
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
    /** When every process had adopted the current roster; earlier grants may still be in use. */
    absl::Time settledAt = absl::InfiniteFuture();
};

} // namespace foxtailtally
