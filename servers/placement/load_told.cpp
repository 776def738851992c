#include "servers/placement/load_told.h"

#include <absl/hash/hash.h>
#include <cmath>

namespace foxtailtally {

namespace {

/** Equal for loads that a listener need not tell apart. What only ages is left out. */
std::size_t signatureOf(const ServerLoad &load)
{
    std::size_t stakes = 0;
    for (const PauseStake &stake : load.pauseStakes)
        stakes += absl::HashOf(stake.objectiveMs, std::lround(stake.value * 10.0F));
    for (const FirstEventStake &stake : load.firstEventStakes)
        stakes += absl::HashOf(stake.dueAt, std::lround(stake.value * 10.0F));
    return absl::HashOf(load.streams, load.writers, load.shortStreams, load.memoryTokens,
                        std::lround(load.splitReads.oldestMs), load.splitReads.oldestSince,
                        std::lround(load.splitReads.behindMs),
                        std::lround(load.wholeReads.oldestMs), load.wholeReads.oldestSince,
                        std::lround(load.wholeReads.behindMs), stakes);
}

} // namespace

std::vector<TableEntry> LoadTold::take(const ServerLoads &loads, absl::Time now)
{
    std::vector<TableEntry> entries;
    for (const auto &[server, load] : loads) {
        if (load.isIdle())
            continue;
        Told &last = this->told[server];
        const std::size_t signature = signatureOf(load);
        last.endsLeft = kEndsTold;
        if (signature == last.signature && now - last.at < kRefresh)
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

std::vector<TableEntry> LoadTold::all(const ServerLoads &loads)
{
    std::vector<TableEntry> entries;
    for (const auto &[server, load] : loads) {
        if (!load.isIdle())
            entries.push_back({server, load});
    }
    return entries;
}

} // namespace foxtailtally
