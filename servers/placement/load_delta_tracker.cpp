#include "servers/placement/load_delta_tracker.h"

#include <absl/hash/hash.h>
#include <cmath>

namespace foxtailtally {

namespace {

/** Equal for loads that a listener need not tell apart. What only ages is left out. */
std::size_t signatureOf(const ServerLoad &load)
{
    std::size_t stakes = 0;
    for (const EventGapRisk &stake : load.eventGapRisks)
        stakes += absl::HashOf(stake.objectiveMs, std::lround(stake.value * 10.0F));
    for (const FirstEventRisk &stake : load.firstEventRisks)
        stakes += absl::HashOf(stake.dueAt, std::lround(stake.value * 10.0F));
    return absl::HashOf(load.streams, load.decodingStreams, load.shortStreams, load.memoryTokens,
                        std::lround(load.splitPrefills.oldestMs), load.splitPrefills.oldestSince,
                        std::lround(load.splitPrefills.behindMs),
                        std::lround(load.wholePrefills.oldestMs), load.wholePrefills.oldestSince,
                        std::lround(load.wholePrefills.behindMs), stakes);
}

} // namespace

std::vector<ServerLoadEntry> LoadDeltaTracker::takeChanges(const ServerLoads &loads, absl::Time now)
{
    std::vector<ServerLoadEntry> entries;
    for (const auto &[server, load] : loads) {
        if (load.isIdle())
            continue;
        Told &last = this->told[server];
        const std::size_t signature = signatureOf(load);
        last.endsLeft = kRemovalRepeats;
        if (signature == last.signature && now - last.at < kRefreshInterval)
            continue;
        last.signature = signature;
        last.at = now;
        entries.push_back({server, load});
    }
    for (auto &[server, last] : this->told) {
        const auto found = loads.find(server);
        if (found != loads.end() && !found->second.isIdle())
            continue;
        last.signature = 0;
        --last.endsLeft;
        entries.push_back({server, {}});
    }
    absl::erase_if(this->told, [](const auto &item) { return item.second.endsLeft <= 0; });
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
