#include "servers/placement/load_delta_tracker.h"

#include <absl/hash/hash.h>
#include <cmath>

namespace foxtailtally {

namespace {

/** Equal for loads whose differences do not matter to a receiver. Values that change with time
 * alone are left out. */
std::size_t signatureOf(const ServerLoad &load)
{
    std::size_t risks = 0;
    for (const EventGapRisk &risk : load.eventGapRisks)
        risks += absl::HashOf(risk.objectiveMs, std::lround(risk.value * 10.0F));
    for (const FirstEventRisk &risk : load.firstEventRisks)
        risks += absl::HashOf(risk.dueAt, std::lround(risk.value * 10.0F));
    return absl::HashOf(
        load.streams, load.decodingStreams, load.shortStreams, load.memoryTokens,
        std::lround(load.splitPrefills.oldestMs), load.splitPrefills.oldestSince,
        std::lround(load.splitPrefills.queuedMs), std::lround(load.wholePrefills.oldestMs),
        load.wholePrefills.oldestSince, std::lround(load.wholePrefills.queuedMs),
        load.deferredStreams, std::lround(load.deferredPrefills.oldestMs),
        load.deferredPrefills.oldestSince, std::lround(load.deferredPrefills.queuedMs), risks);
}

} // namespace

std::vector<ServerLoadEntry> LoadDeltaTracker::takeChanges(const ServerLoads &loads, absl::Time now)
{
    std::vector<ServerLoadEntry> entries;
    for (const auto &[server, load] : loads) {
        if (load.isIdle())
            continue;
        SentLoad &last = this->sentLoads[server];
        const std::size_t signature = signatureOf(load);
        last.removalsLeft = kRemovalRepeats;
        if (signature == last.signature && now - last.sentAt < kRefreshInterval)
            continue;
        last.signature = signature;
        last.sentAt = now;
        entries.push_back({server, load});
    }
    for (auto &[server, last] : this->sentLoads) {
        const auto found = loads.find(server);
        if (found != loads.end() && !found->second.isIdle())
            continue;
        last.signature = 0;
        --last.removalsLeft;
        entries.push_back({server, {}});
    }
    absl::erase_if(this->sentLoads, [](const auto &item) { return item.second.removalsLeft <= 0; });
    return entries;
}

std::vector<ServerLoadEntry> LoadDeltaTracker::all(const ServerLoads &loads)
{
    std::vector<ServerLoadEntry> entries;
    for (const auto &[server, load] : loads) {
        if (!load.isIdle())
            entries.push_back({server, load});
    }
    return entries;
}

} // namespace foxtailtally
