#pragma once

#include "servers/claims/claim_segment.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

/** Store objects per shard. Together they take 2 MB: about 4,000 claims with 400-byte answers. */
constexpr std::uint64_t kSegmentSlots = 32;

struct ClaimEntry
{
    enum class State { Claimed, Done, Unknown };

    State state = State::Claimed;
    /** Record that granted the claim. */
    ClaimRecord claim;
    std::string answer;
    bool isAnswerKept = false;
};

/**
 * One instance's copy of a shard's log. Segment n lives in the object of slot n % kSegmentSlots,
 * which is reused once its records are past their retention. Objects are never deleted: otherwise
 * an instance that resumes after a long pause could create a segment with a number below the active
 * one, and no other instance would read its claims. A reused object has a new version, so the
 * conditional write of such an instance fails.
 */
class ClaimLog
{
public:
    enum class ReadResult {
        /** The slot holds the active segment, with or without new records. */
        Active,
        /** The slot holds the segment after the active one, which is now active. */
        Next,
        /** The slot does not yet hold the segment after the active one. */
        NotCreated,
        /** The copy is too old to be updated from one slot; all slots must be loaded again. */
        Outdated,
    };

    /** Discards the copy before a new list of the slots is loaded. */
    void reset();
    /** Adds one listed slot. Error: DocumentInvalid. */
    std::error_code addListed(std::uint64_t slot, std::uint64_t version, std::string_view text);
    /**
     * Builds the entries from the listed segments. False when a segment that was still open when
     * it was listed is no longer the last one, so that the list must be read again.
     */
    bool finishLoading();
    bool isLoaded() const { return this->loaded; }

    /** Applies a read of the active segment's slot or the next one. Error: DocumentInvalid. */
    Result<ReadResult> applyRead(std::uint64_t slot, std::uint64_t version, std::string_view text);
    /** Applies a read that found no object in @p slot. */
    ReadResult applyAbsentRead(std::uint64_t slot);
    /** Applies this instance's successful write of @p segment. */
    void applyWrite(const ClaimSegment &segment, std::uint64_t version);

    /** Segment to write next: the active one, or a new one when the active one is sealed. */
    ClaimSegment draft() const;
    /** Last known version of the slot of segment @p number; 0 when it does not exist. */
    std::uint64_t versionOf(std::uint64_t number) const;
    /** False while the slot of segment @p number holds an older segment within its retention. */
    bool isSlotFree(std::uint64_t number, absl::Time wallNow) const;
    const ClaimSegment &active() const { return *this->activeSegment; }
    static std::uint64_t slotOf(std::uint64_t number) { return number % kSegmentSlots; }

    const ClaimEntry *find(const Fingerprint &key) const;
    const ClaimEntry *findByFence(std::uint64_t fence) const;
    /** Fence of an attempt that is in the log and was not recorded as not run. */
    std::optional<std::uint64_t> fenceOf(std::uint64_t attempt) const;
    /** Removes entries past their retention. */
    void expire(absl::Time wallNow);

private:
    struct Slot
    {
        std::uint64_t version = 0;
        std::uint64_t number = 0;
        absl::Time newestAt = absl::InfinitePast();
    };

    void recordSlot(std::uint64_t slot, std::uint64_t version, const ClaimSegment &segment);
    void applyRecords(const ClaimSegment &segment, std::size_t from);
    void apply(const ClaimRecord &record);

    std::map<std::uint64_t, ClaimSegment> listed;
    std::map<std::uint64_t, Slot> slots;
    std::optional<ClaimSegment> activeSegment;
    bool loaded = false;
    absl::flat_hash_map<Fingerprint, ClaimEntry> entries;
    absl::flat_hash_map<std::uint64_t, Fingerprint> fences;
    /** Fence by attempt. */
    absl::flat_hash_map<std::uint64_t, std::uint64_t> attempts;
    absl::Time nextExpiryAt = absl::InfinitePast();
};

} // namespace foxtailtally
