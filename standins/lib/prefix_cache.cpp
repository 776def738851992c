#include "standins/lib/prefix_cache.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Older events are dropped; a reader that falls behind sees a gap in the sequence. */
constexpr std::size_t kMaxLoggedEvents = 4096;

} // namespace

PrefixCache::PrefixCache(absl::Duration eventDelay, double eventLoss)
    : eventDelay(eventDelay)
    , eventLoss(eventLoss)
{ }

std::int64_t PrefixCache::match(std::span<const std::uint64_t> blocks)
{
    std::size_t count = 0;
    while (count < blocks.size() && this->positions.contains(blocks[count])) {
        ++count;
    }
    this->touch(blocks.first(count));
    return static_cast<std::int64_t>(count);
}

void PrefixCache::store(std::span<const std::uint64_t> blocks, std::int64_t capacityBlocks,
                        absl::Time now, Random &random)
{
    // Blocks past the capacity would evict the leading blocks of the same prompt.
    const auto kept = blocks.first(std::min(
        blocks.size(), static_cast<std::size_t>(std::max<std::int64_t>(capacityBlocks, 0))));
    for (const std::uint64_t block : kept) {
        if (!this->positions.contains(block)) {
            this->lruOrder.push_front(block);
            this->positions[block] = this->lruOrder.begin();
            this->recordEvent(true, block, now, random);
        }
    }
    this->touch(kept);
    this->shrink(capacityBlocks, now, random);
}

void PrefixCache::shrink(std::int64_t capacityBlocks, absl::Time now, Random &random)
{
    while (!this->lruOrder.empty() && this->blocks() > capacityBlocks) {
        const std::uint64_t block = this->lruOrder.back();
        this->lruOrder.pop_back();
        this->positions.erase(block);
        this->recordEvent(false, block, now, random);
    }
}

void PrefixCache::clear()
{
    this->lruOrder.clear();
    this->positions.clear();
}

std::uint64_t PrefixCache::firstSequence() const
{
    return this->eventLog.empty() ? 0 : this->eventLog.front().event.sequence;
}

std::uint64_t PrefixCache::lastVisible(absl::Time now) const
{
    for (auto entry = this->eventLog.rbegin(); entry != this->eventLog.rend(); ++entry) {
        if (entry->visibleAt <= now) {
            return entry->event.sequence;
        }
    }
    return 0;
}

std::vector<CacheEvent> PrefixCache::events(std::uint64_t after, absl::Time now) const
{
    std::vector<CacheEvent> visible;
    for (const LoggedEvent &entry : this->eventLog) {
        if (entry.visibleAt > now) {
            break;
        }
        if (entry.event.sequence > after) {
            visible.push_back(entry.event);
        }
    }
    return visible;
}

void PrefixCache::touch(std::span<const std::uint64_t> blocks)
{
    // A block is usable only with all blocks before it, so the first one must be evicted last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        this->lruOrder.splice(this->lruOrder.begin(), this->lruOrder, this->positions.at(*block));
    }
}

void PrefixCache::recordEvent(bool isStored, std::uint64_t block, absl::Time now, Random &random)
{
    ++this->sequence;
    if (random.uniform() < this->eventLoss) {
        return;
    }
    this->eventLog.push_back({{this->sequence, isStored, block}, now + this->eventDelay});
    if (this->eventLog.size() > kMaxLoggedEvents) {
        this->eventLog.pop_front();
    }
}

} // namespace foxtailtally
