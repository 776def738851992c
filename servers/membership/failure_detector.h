#pragma once

#include "core/random.h"
#include "servers/membership/member_table.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <optional>
#include <vector>

namespace foxtailtally {

/** Interval between direct probes; each interval probes one instance. */
constexpr absl::Duration kProbeInterval = absl::Seconds(1);
/** Time after which an unanswered probe is repeated directly and sent through other instances. */
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(300);
/** Instances asked to probe on behalf of another. */
constexpr std::size_t kIndirectProbes = 3;
/**
 * Time after which an instance that has not refuted its suspicion is declared dead. A refutation
 * needs about four gossip rounds of 1 s to reach a hundred instances; one more covers a lost
 * datagram.
 */
constexpr absl::Duration kSuspicionTimeout = absl::Seconds(5);
/** Consecutive failed probes after which a leaving instance is declared dead. */
constexpr int kMaxLeavingProbeFailures = 3;
/** Gap between two ticks above which this process assumes that it was paused. */
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
    /** Records the answer to probe @p number. */
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
    /**
     * Handles a target that answered no probe of the last interval: suspects it, or declares it
     * dead after repeated failures if it is leaving.
     */
    void onFailure(const InstanceId &target, absl::Time now, std::vector<InstanceId> &changed);

    MemberTable &table;
    Random &random;
    std::optional<Outstanding> outstanding;
    std::vector<InstanceId> pendingTargets;
    absl::flat_hash_map<InstanceId, int> leavingFailures;
    std::uint64_t lastProbeNumber = 0;
    absl::Time lastTick = absl::InfinitePast();
    absl::Time nextProbeAt = absl::InfinitePast();
    /**
     * Unanswered probes count only from this time, since earlier ones may be due to a pause of this
     * process.
     */
    absl::Time detectionResumesAt = absl::InfinitePast();
};

} // namespace foxtailtally
