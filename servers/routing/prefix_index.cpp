#include "servers/routing/prefix_index.h"

#include <algorithm>

namespace foxtailtally {

PrefixIndex::PrefixIndex(std::size_t capacity, absl::Duration lifetime)
    : capacity(std::max<std::size_t>(capacity, 1))
    , lifetime(lifetime)
{ }

void PrefixIndex::onStored(const GroupId &group, std::uint64_t block, absl::Time now)
{
    auto slot = this->slots.find(group);
    if (slot == this->slots.end()) {
        if (this->groupIds.size() >= kMaxGroups)
            return;
        slot = this->slots.emplace(group, static_cast<std::uint32_t>(this->groupIds.size())).first;
        this->groupIds.push_back(group);
    }
    auto entry = this->entries.find(block);
    if (entry == this->entries.end()) {
        if (this->entries.size() >= this->capacity)
            this->evictOldest();
        entry = this->entries.emplace(block, Entry {{}, this->nextGeneration}).first;
        this->arrivals.push_back({block, this->nextGeneration++});
    }
    Holders &holders = entry->second.holders;
    const absl::Time expires = now + this->lifetime;
    for (Holder &holder : holders) {
        if (holder.slot == slot->second) {
            holder.expires = std::max(holder.expires, expires);
            return;
        }
    }
    if (holders.size() < kHoldersPerBlock) {
        holders.push_back({slot->second, expires});
        return;
    }
    *std::min_element(holders.begin(), holders.end(), [](const Holder &a, const Holder &b) {
        return a.expires < b.expires;
    }) = {slot->second, expires};
}

void PrefixIndex::onEvicted(const GroupId &group, std::uint64_t block)
{
    const auto slot = this->slots.find(group);
    const auto entry = this->entries.find(block);
    if (slot == this->slots.end() || entry == this->entries.end())
        return;
    Holders &holders = entry->second.holders;
    const auto isGroup = [&](const Holder &holder) { return holder.slot == slot->second; };
    holders.erase(std::remove_if(holders.begin(), holders.end(), isGroup), holders.end());
    if (holders.empty())
        this->entries.erase(entry);
}

void PrefixIndex::onGroupLost(const GroupId &group)
{
    const auto slot = this->slots.find(group);
    if (slot == this->slots.end())
        return;
    const auto isGroup = [&](const Holder &holder) { return holder.slot == slot->second; };
    absl::erase_if(this->entries, [&](auto &item) {
        Holders &holders = item.second.holders;
        holders.erase(std::remove_if(holders.begin(), holders.end(), isGroup), holders.end());
        return holders.empty();
    });
}

PrefixHits PrefixIndex::lookup(std::span<const std::uint64_t> blocks, absl::Time now) const
{
    PrefixHits hits;
    // Engines evict the end of a chain first, so the known blocks of a prompt are its leading ones,
    // and a binary search finds the deepest. A prompt of a million tokens has 3,907 blocks, and a
    // lookup of each of them would exceed the time allowed for a routing decision.
    std::size_t known = 0;
    std::size_t unknown = blocks.size() + 1;
    while (known + 1 < unknown) {
        const std::size_t middle = known + (unknown - known) / 2;
        if (this->isKnown(blocks[middle - 1], now))
            known = middle;
        else
            unknown = middle;
    }
    for (std::size_t depth = known; depth > 0; depth /= 2)
        this->collect(blocks[depth - 1], depth, now, hits);
    return hits;
}

bool PrefixIndex::isKnown(std::uint64_t block, absl::Time now) const
{
    const auto entry = this->entries.find(block);
    if (entry == this->entries.end())
        return false;
    const Holders &holders = entry->second.holders;
    return std::any_of(holders.begin(), holders.end(),
                       [now](const Holder &holder) { return holder.expires > now; });
}

void PrefixIndex::collect(std::uint64_t block, std::size_t depth, absl::Time now,
                          PrefixHits &hits) const
{
    const auto entry = this->entries.find(block);
    if (entry == this->entries.end())
        return;
    for (const Holder &holder : entry->second.holders) {
        const bool isPresent = std::any_of(hits.begin(), hits.end(), [&](const PrefixHit &hit) {
            return hit.slot == holder.slot;
        });
        if (holder.expires > now && !isPresent)
            hits.push_back({holder.slot, depth});
    }
}

void PrefixIndex::evictOldest()
{
    while (!this->arrivals.empty()) {
        const Arrival oldest = this->arrivals.front();
        this->arrivals.pop_front();
        const auto entry = this->entries.find(oldest.block);
        if (entry == this->entries.end() || entry->second.generation != oldest.generation)
            continue;
        this->entries.erase(entry);
        return;
    }
}

} // namespace foxtailtally
