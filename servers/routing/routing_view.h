#pragma once

#include "core/ids.h"
#include "core/reservation.h"
#include "servers/routing/prefix_index.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Last known state of one server group. */
struct RoutingGroup
{
    GroupSummary summary;
    /** Time at which this instance received the summary. */
    absl::Time receivedAt = absl::InfinitePast();
    /** An operator has taken the group's failure domain out of service. */
    bool isOutOfService = false;
    /** The group is draining and gets no new requests. */
    bool isDraining = false;

    bool mayTakeRequests() const
    {
        return !this->isOutOfService && !this->isDraining && this->summary.accepting
            && this->summary.servers > 0;
    }
};

/** Load of one group that may take requests, precomputed for ranking. */
struct RoutingCandidate
{
    /** Index into RoutingView::groups(). */
    std::uint32_t group = 0;
    bool isRemote = false;
    absl::Time receivedAt;
    /** Predicted wait of a new request before it starts, by request class. */
    std::array<double, kRequestClassCount> startDelaySeconds {};
    /** Prefill rate of one server in tokens a second. */
    double prefillRate = 0;
    /** Requests running or waiting per server. */
    double requestsPerServer = 0;
    /** Prompt tokens granted or waiting per server. */
    double tokensPerServer = 0;
    std::int64_t freeTokens = 0;
    std::int64_t capacityTokens = 0;
};

/** The groups of one model that may take requests. */
struct RoutingCandidates
{
    std::vector<RoutingCandidate> list;
    /** Mean of RoutingCandidate::requestsPerServer. */
    double meanRequestsPerServer = 0;
    /** Mean of RoutingCandidate::tokensPerServer. */
    double meanTokensPerServer = 0;
};

/** Number of leading blocks of a prompt that one candidate caches. */
struct CandidateHit
{
    std::uint32_t candidate = 0;
    std::size_t blocks = 0;
};

/**
 * Immutable snapshot of all server groups that an instance knows. Threads that route requests read
 * it through RcuPointer; a control thread builds the next one with RoutingViewBuilder.
 */
class RoutingView
{
public:
    RoutingView() = default;

    std::span<const RoutingGroup> groups() const { return this->allGroups; }
    const RoutingGroup *find(const GroupId &group) const;
    const GroupId &groupId(const RoutingCandidate &candidate) const
    {
        return this->allGroups[candidate.group].summary.group;
    }

    /** Groups of @p model that may take requests; empty for an unknown model. */
    const RoutingCandidates &candidates(const ModelId &model) const;

    /** Elements of @p candidates that cache a leading part of @p blocks. */
    absl::InlinedVector<CandidateHit, 8> prefixHits(const RoutingCandidates &candidates,
                                                    std::span<const std::uint64_t> blocks,
                                                    absl::Time now) const;

private:
    friend class RoutingViewBuilder;

    struct SlotTarget
    {
        const RoutingCandidates *owner = nullptr;
        std::uint32_t candidate = 0;
    };

    std::vector<RoutingGroup> allGroups;
    absl::flat_hash_map<GroupId, std::uint32_t> groupIndex;
    absl::flat_hash_map<ModelId, std::unique_ptr<RoutingCandidates>> byModel;
    std::shared_ptr<const PrefixIndex> prefixes;
    /** Candidate of each group of the prefix index, by PrefixHit::slot. */
    std::vector<SlotTarget> slotTargets;
};

} // namespace foxtailtally
