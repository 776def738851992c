#pragma once

#include "core/request.h"
#include "core/result.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Size limit of a segment object. */
constexpr std::size_t kMaxSegmentBytes = 65536;
/** Size limit of an answer that is stored for replay. */
constexpr std::size_t kMaxKeptAnswerBytes = 2048;

/** One entry of a claim log. Records about an attempt refer to it by its fence. */
struct ClaimRecord
{
    enum class Kind : char {
        Claimed = 'c',
        Done = 'd',
        /** The attempt may have run; its answer is not known. */
        Unknown = 'u',
        /** The attempt has not run and will not; the key is free again. */
        NotRun = 'n',
    };

    Kind kind = Kind::Claimed;
    /** Number of the claim in its shard; strictly increasing along the log. */
    std::uint64_t fence = 0;
    /** Wall time of the record. */
    absl::Time at;
    // Set for Claimed only.
    Fingerprint key {};
    Fingerprint body {};
    /** Unique id of the attempt. */
    std::uint64_t attempt = 0;
    /** Wall time of the request's deadline, by which the attempt must have ended. */
    absl::Time deadline;
    bool checksFence = false;
    // Set for Done only.
    std::string answer;
    /** False when the answer was longer than kMaxKeptAnswerBytes and was not stored. */
    bool isAnswerKept = false;

    bool operator==(const ClaimRecord &) const = default;
};

/** One object of a claim log: records in order, appended until the segment is sealed. */
class ClaimSegment
{
public:
    ClaimSegment(std::uint64_t number, std::uint64_t firstFence);

    /** Error: DocumentInvalid. */
    static Result<ClaimSegment> parse(std::string_view text);
    std::string serialize() const;

    /** Appends @p record when it fits into kMaxSegmentBytes. */
    bool tryAppend(ClaimRecord record);
    void seal() { this->sealed = true; }

    std::uint64_t number() const { return this->segmentNumber; }
    bool isSealed() const { return this->sealed; }
    const std::vector<ClaimRecord> &records() const { return this->entries; }
    /** Fence of the next claim. */
    std::uint64_t nextFence() const { return this->fence; }
    /** Latest wall time of any record; InfinitePast when there is none. */
    absl::Time newestAt() const { return this->newest; }

private:
    std::uint64_t segmentNumber;
    std::uint64_t firstFence;
    std::uint64_t fence;
    bool sealed = false;
    std::vector<ClaimRecord> entries;
    /** The records as JSON, separated by commas. */
    std::string encoded;
    absl::Time newest = absl::InfinitePast();
};

} // namespace foxtailtally
