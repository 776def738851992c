#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <absl/functional/function_ref.h>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace foxtailtally {

/** Limit on the number of instances that hold shares of one group. */
constexpr std::size_t kMaxShareHolders = 5;

/** Limit on the number of earlier versions that a roster lists as unsettled. */
constexpr std::size_t kMaxUnsettledRosters = 8;

/** One process. A restarted instance is a new process and holds no shares until it is listed. */
struct RosterMember
{
    InstanceId instance;
    Incarnation incarnation = 0;

    // clang-tidy takes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const RosterMember &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const RosterMember &) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const RosterMember &member)
    {
        return H::combine(std::move(state), member.instance, member.incarnation);
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->incarnation);
    }
};

struct RosterVersion
{
    std::uint64_t version = 0;
    std::vector<RosterMember> members;

    bool operator==(const RosterVersion &) const = default;
};

/**
 * Numbered document that names the processes among which a domain's shares are divided.
 *
 * Hand-over between versions: a process that adopts a version gives up everything it holds by older
 * versions. It counts as settled at the new version when its loans of older versions have been
 * returned, replaced or have expired. Under the new version a process uses or lends a share only
 * when each earlier holder of that share, by every version in @ref unsettled, is settled at the
 * new version or has been gone for the loan term and margins. A unit is therefore never used
 * under two versions at once.
 */
struct Roster
{
    FailureDomainId domain;
    RosterVersion current;
    /** Earlier versions under which some process may still use shares, oldest first. */
    std::vector<RosterVersion> unsettled;
};

/** Holders of @p group's shares in rendezvous order; at most kMaxShareHolders. */
std::vector<RosterMember> shareHolders(std::span<const RosterMember> members, const GroupId &group);

/** Units of @p limit that belong to holder @p index of @p holders. */
std::int64_t shareUnits(std::int64_t limit, std::size_t index, std::size_t holders);

/**
 * The roster that follows @p last and lists @p members. @p hasRelinquished tells whether a process
 * is settled above a version or has been gone for the loan term and margins. Fails with
 * Error::DocumentConflict when too many earlier versions are unsettled; try again later.
 */
Result<Roster> nextRoster(
    const Roster &last, std::vector<RosterMember> members,
    absl::FunctionRef<bool(const RosterMember &member, std::uint64_t version)> hasRelinquished);

} // namespace foxtailtally
