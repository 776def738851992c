#include "peers/engine/cache_event_tracker.h"

namespace foxtailtally {

CacheEventTracker::CacheEventTracker(std::size_t maxBlocks)
    : maxBlocks(maxBlocks)
{ }

bool CacheEventTracker::apply(Incarnation source, const EngineCachePage &page)
{
    if (source < this->incarnation) {
        return true;
    }
    if (source > this->incarnation) {
        this->incarnation = source;
        this->sequence = 0;
        this->clear();
    }
    bool isComplete = true;
    for (const EngineCacheEvent &event : page.events) {
        if (event.sequence <= this->sequence) {
            continue;
        }
        if (event.sequence != this->sequence + 1) {
            isComplete = false;
            ++this->gapCount;
            this->clear();
        }
        this->sequence = event.sequence;
        if (event.isStored) {
            this->knownHashes.insert(event.block);
        } else {
            this->knownHashes.erase(event.block);
        }
        if (this->knownHashes.size() > this->maxBlocks) {
            this->clear();
        }
    }
    if (page.last > this->sequence) {
        isComplete = false;
        ++this->gapCount;
        this->clear();
        this->sequence = page.last;
    }
    return isComplete;
}

void CacheEventTracker::onCachedBlocks(Incarnation source, std::int64_t cachedBlocks)
{
    if (source < this->incarnation) {
        return;
    }
    if (source > this->incarnation) {
        this->incarnation = source;
        this->sequence = 0;
        this->clear();
        return;
    }
    if (cachedBlocks * 2 < static_cast<std::int64_t>(this->knownHashes.size())) {
        this->clear();
    }
}

std::size_t CacheEventTracker::matchingBlocks(std::span<const std::uint64_t> blocks) const
{
    std::size_t count = 0;
    while (count < blocks.size() && this->knownHashes.contains(blocks[count])) {
        ++count;
    }
    return count;
}

void CacheEventTracker::clear()
{
    this->knownHashes.clear();
}

} // namespace foxtailtally
