#include "servers/routing/deadline_aware_policy.h"

#include "servers/routing/candidate_ranking.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Random groups compared per request. */
constexpr std::size_t kSampleSize = 8;
/** Above this multiple of the mean load, the cache of a group is not taken into account. */
constexpr double kPreferenceLoadLimit = 1.25;
/** Penalty for another failure domain: one round trip at 1.5 ms one-way latency. */
constexpr double kRemotePenaltySeconds = 0.003;
/** Summaries arrive every second; an older one indicates that the owner may have failed. */
constexpr absl::Duration kSummaryStaleAfter = absl::Seconds(5);
/** Ranks stale groups after all others without excluding them. */
constexpr double kStalePenaltySeconds = 3600;
/**
 * Groups whose predicted times differ by less than this count as equal and are chosen at random:
 * summaries are up to a second old and predictions are not exact.
 */
constexpr double kTieSeconds = 0.020;
constexpr double kTieRatio = 0.1;

double predictedSeconds(const RoutingCandidate &candidate, const RequestProfile &request,
                        double cachedTokens, absl::Time now)
{
    const auto requestClass = static_cast<std::size_t>(request.requestClass);
    const double uncached = std::max(0.0, static_cast<double>(request.promptTokens) - cachedTokens);
    double seconds = candidate.startDelaySeconds[requestClass] + uncached / candidate.prefillRate;
    if (candidate.isRemote)
        seconds += kRemotePenaltySeconds;
    if (now - candidate.receivedAt > kSummaryStaleAfter)
        seconds += kStalePenaltySeconds;
    return seconds;
}

} // namespace

RankedGroups DeadlineAwarePolicy::rank(const RoutingView &view, const RequestProfile &request,
                                       absl::Time now, Random &random) const
{
    const RoutingCandidates &candidates = view.candidates(request.model);
    const std::size_t count = candidates.list.size();
    CandidateRanking ranking;
    const auto consider = [&](std::size_t index, double cachedTokens) {
        const RoutingCandidate &candidate = candidates.list[index];
        if (!canHold(candidate, request))
            return;
        const double seconds = predictedSeconds(candidate, request, cachedTokens, now);
        const double tie = kTieSeconds + kTieRatio * seconds;
        ranking.offer(static_cast<std::uint32_t>(index), seconds + tie * random.uniform());
    };
    if (count <= kSampleSize) {
        for (std::size_t index = 0; index < count; ++index)
            consider(index, 0);
    } else {
        for (std::size_t i = 0; i < kSampleSize; ++i)
            consider(random.below(count), 0);
    }
    for (const CandidateHit &hit : view.prefixHits(candidates, request.prefixBlocks, now)) {
        const RoutingCandidate &candidate = candidates.list[hit.candidate];
        const bool isOverloaded =
            candidate.tokensPerServer > kPreferenceLoadLimit * candidates.meanTokensPerServer
            || candidate.requestsPerServer
                > kPreferenceLoadLimit * candidates.meanRequestsPerServer;
        // An overloaded group is not added to the sample either, since that alone would raise its
        // share of the requests.
        if (!isOverloaded)
            consider(hit.candidate, static_cast<double>(hit.blocks) * kPrefixBlockTokens);
    }
    // Few groups can hold the longest contexts, so a sample may miss all of them.
    if (ranking.size() == 0) {
        for (std::size_t index = 0; index < count; ++index)
            consider(index, 0);
    }
    return ranking.groups(view, candidates);
}

} // namespace foxtailtally
