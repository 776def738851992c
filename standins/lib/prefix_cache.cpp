#include "standins/lib/prefix_cache.h"

#include <algorithm>

namespace foxtailtally {

namespace {

/** Older events are dropped, so that a reader that falls behind sees a gap. */
constexpr std::size_t kKeptEvents = 4096;

} // namespace

PrefixCache::PrefixCache(absl::Duration eventDelay, double eventLoss)
    : eventDelay(eventDelay)
    , eventLoss(eventLoss)
{ }

std::int64_t PrefixCache::match(std::span<const std::uint64_t> blocks)
{
    std::size_t count = 0;
    while (count < blocks.size() && this->index.contains(blocks[count])) {
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
        if (!this->index.contains(block)) {
            this->order.push_front(block);
            this->index[block] = this->order.begin();
            this->log(true, block, now, random);
        }
    }
    this->touch(kept);
    this->shrink(capacityBlocks, now, random);
}

void PrefixCache::shrink(std::int64_t capacityBlocks, absl::Time now, Random &random)
{
    while (!this->order.empty() && this->blocks() > capacityBlocks) {
        const std::uint64_t block = this->order.back();
        this->order.pop_back();
        this->index.erase(block);
        this->log(false, block, now, random);
    }
}

void PrefixCache::forget()
{
    this->order.clear();
    this->index.clear();
}

std::uint64_t PrefixCache::firstSequence() const
{
    return this->logged.empty() ? 0 : this->logged.front().event.sequence;
}

std::uint64_t PrefixCache::lastVisible(absl::Time now) const
{
    for (auto entry = this->logged.rbegin(); entry != this->logged.rend(); ++entry) {
        if (entry->visibleAt <= now) {
            return entry->event.sequence;
        }
    }
    return 0;
}

std::vector<CacheEvent> PrefixCache::events(std::uint64_t after, absl::Time now) const
{
    std::vector<CacheEvent> visible;
    for (const Logged &entry : this->logged) {
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
    // A block is of use only with all blocks before it, so the first one is evicted last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        this->order.splice(this->order.begin(), this->order, this->index.at(*block));
    }
}

void PrefixCache::log(bool isStored, std::uint64_t block, absl::Time now, Random &random)
{
    ++this->sequence;
    if (random.uniform() < this->eventLoss) {
        return;
    }
    this->logged.push_back({{this->sequence, isStored, block}, now + this->eventDelay});
    if (this->logged.size() > kKeptEvents) {
        this->logged.pop_front();
    }
}

} // namespace foxtailtally
