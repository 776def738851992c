#pragma once

#include "core/ids.h"
#include "servers/catalog/store_position.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace foxtailtally {

/** A number that increases with each change of holder, also when the store is restored. */
using FencingToken = std::int64_t;

/** Number of the last usage window of an empty history. */
inline constexpr std::int64_t kNoWindow = -1;

/** Final counts of one usage window, not yet accepted by the control API. */
struct SettledWindow
{
    std::int64_t window = kNoWindow;
    absl::btree_map<CustomerId, std::int64_t> counts;

    bool operator==(const SettledWindow &) const = default;
};

/** The part of the lease that the holder writes for its successor. */
struct LeaseContent
{
    /** All windows up to and including this one were accepted or given up. */
    std::int64_t reportedThrough = kNoWindow;
    /** In the order of their numbers. */
    std::vector<SettledWindow> windows;

    bool operator==(const LeaseContent &) const = default;
};

/** Content of the one object of the lease in the store. */
struct LeaseRecord
{
    /** Empty in a vacant record: it is created where none exists, and gives no right to anybody. */
    InstanceId holder;
    Incarnation incarnation = 0;
    FencingToken token = 0;
    /** The holder does not act any more. */
    bool isReleased = false;
    LeaseContent content;
    /** Windows that ended before this time may have been reported with counts that the record
     * lacks. */
    absl::Time uncertainBefore = absl::InfinitePast();
    /** Writes under this token before this one. The store ignores a write that changes nothing: its
     * revision would not show that the holder has renewed the lease. */
    std::int64_t renewals = 0;

    bool isVacant() const { return this->holder.isEmpty(); }
    bool operator==(const LeaseRecord &) const = default;
};

/** Token of an acquisition after a read at @p read; empty if it would not fit 53 bits. */
std::optional<FencingToken> fencingToken(const StorePosition &read);
/** Era in which @p token was made. */
std::int64_t eraOfToken(FencingToken token);

/** The lease as a response of the store shows it. */
struct ObservedLease
{
    /** Era of the response, and StoreRevision of a list or kNoRevision without one (409, 404). */
    StorePosition store;
    /** Revision of the object; kNoRevision if there is none. */
    std::int64_t revision = StorePosition::kNoRevision;
    /** Empty if there is no object or it cannot be decoded. */
    std::optional<LeaseRecord> record;

    bool isMissing() const { return this->revision < 0; }
    StorePosition position() const { return {this->store.era, this->revision}; }
};

/** What the holder tells the other instances about its last confirmed write. */
struct LeaseAnnouncement
{
    InstanceId holder;
    FencingToken token = 0;
    /** Era and revision of the write. */
    StorePosition position;
    bool isReleased = false;

    bool operator==(const LeaseAnnouncement &) const = default;
};

} // namespace foxtailtally
