#pragma once

#include "core/random.h"
#include "servers/membership/member_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <optional>
#include <vector>

namespace foxtailtally {

/** Interval between probes of one instance each. */
constexpr absl::Duration kProbeInterval = absl::Seconds(1);
/** Time after which an unanswered probe is repeated, directly and through others. */
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(300);
/** Instances asked to probe on behalf of another. */
constexpr std::size_t kIndirectProbes = 3;
/**
 * Time between suspicion and death. A refutation needs about four gossip rounds of 1 s to reach a
 * hundred instances; one more covers a lost datagram.
 */
constexpr absl::Duration kSuspicionTimeout = absl::Seconds(5);
/** Failed probes in a row after which an instance that announced its leaving is dead. */
constexpr int kMaxLeavingProbeFailures = 3;
/** A gap between ticks from which the process takes itself to have been paused. */
constexpr absl::Duration kMinPauseGap = absl::Seconds(2);

/** Decides which instance of the domain to probe and when to suspect it or declare it dead. */
class FailureDetector
{
public:
    struct ProbeRequest
    {
        InstanceId to;
        /** Probed on behalf of this process by @ref to; empty for a direct probe. */
        InstanceId target;
        std::uint64_t number = 0;
    };

    FailureDetector(MemberTable &table, Random &random);

    /** Probes to send now; appends members whose state changed to @p changed. */
    std::vector<ProbeRequest> onTick(absl::Time now, std::vector<InstanceId> &changed);
    /** Takes note of an answer to probe @p number. */
    void onAck(std::uint64_t number);

private:
    struct Outstanding
    {
        InstanceId target;
        std::uint64_t number = 0;
        absl::Time sentAt;
        bool isRepeated = false;
    };

    InstanceId nextTarget();
    /** Judges a target that answered no probe of the last interval. */
    void onFailure(const InstanceId &target, absl::Time now, std::vector<InstanceId> &changed);

    MemberTable &table;
    Random &random;
    std::optional<Outstanding> outstanding;
    std::vector<InstanceId> pendingTargets;
    absl::flat_hash_map<InstanceId, int> leavingFailures;
    std::uint64_t lastProbeNumber = 0;
    absl::Time lastTick = absl::InfinitePast();
    absl::Time nextProbeAt = absl::InfinitePast();
    /** No judgement before this time, since unanswered probes may be due to an own pause. */
    absl::Time detectionResumesAt = absl::InfinitePast();
};

} // namespace foxtailtally
