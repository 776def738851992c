#include "servers/claims/claim_log.h"

#include "servers/claims/claim_keys.h"

namespace foxtailtally {

namespace {

/** Time between two passes over all entries; they may outlive their retention by as much. */
constexpr absl::Duration kExpiryPause = absl::Seconds(10);

} // namespace

void ClaimLog::reset()
{
    *this = ClaimLog();
}

std::error_code ClaimLog::addListed(std::uint64_t slot, std::uint64_t version,
                                    std::string_view text)
{
    auto segment = ClaimSegment::parse(text);
    if (!segment.ok() || slotOf(segment->number()) != slot)
        return Error::DocumentInvalid;
    this->recordSlot(slot, version, *segment);
    this->listed.insert_or_assign(slot, std::move(segment).value());
    return {};
}

bool ClaimLog::finishLoading()
{
    std::map<std::uint64_t, const ClaimSegment *> ordered;
    for (const auto &[slot, segment] : this->listed)
        ordered[segment.number()] = &segment;
    if (ordered.empty()) {
        this->activeSegment.emplace(0, 1);
        this->loaded = true;
        return true;
    }
    const std::uint64_t last = ordered.rbegin()->first;
    for (const auto &[number, segment] : ordered)
        if (number != last && !segment->isSealed())
            return false;
    for (const auto &[number, segment] : ordered)
        this->applyRecords(*segment, 0);
    this->activeSegment = *ordered.rbegin()->second;
    this->listed.clear();
    this->loaded = true;
    return true;
}

Result<ClaimLog::ReadResult> ClaimLog::applyRead(std::uint64_t slot, std::uint64_t version,
                                                 std::string_view text)
{
    auto parsed = ClaimSegment::parse(text);
    if (!parsed.ok() || slotOf(parsed->number()) != slot)
        return Error::DocumentInvalid;
    const ClaimSegment &segment = *parsed;
    const std::uint64_t current = this->activeSegment->number();
    if (segment.number() == current) {
        const std::size_t known = this->activeSegment->records().size();
        if (segment.records().size() < known)
            return ReadResult::Outdated;
        this->applyRecords(segment, known);
        this->recordSlot(slot, version, segment);
        this->activeSegment = segment;
        return ReadResult::Active;
    }
    if (segment.number() == current + 1) {
        this->applyRecords(segment, 0);
        this->recordSlot(slot, version, segment);
        this->activeSegment = segment;
        return ReadResult::Next;
    }
    if (segment.number() > current)
        return ReadResult::Outdated;
    this->recordSlot(slot, version, segment);
    return ReadResult::NotCreated;
}

ClaimLog::ReadResult ClaimLog::applyAbsentRead(std::uint64_t slot)
{
    const bool isKnown = this->slots.contains(slot);
    return isKnown ? ReadResult::Outdated : ReadResult::NotCreated;
}

void ClaimLog::applyWrite(const ClaimSegment &segment, std::uint64_t version)
{
    const bool isSame = segment.number() == this->activeSegment->number();
    this->applyRecords(segment, isSame ? this->activeSegment->records().size() : 0);
    this->recordSlot(slotOf(segment.number()), version, segment);
    this->activeSegment = segment;
}

ClaimSegment ClaimLog::draft() const
{
    if (!this->activeSegment->isSealed())
        return *this->activeSegment;
    return {this->activeSegment->number() + 1, this->activeSegment->nextFence()};
}

std::uint64_t ClaimLog::versionOf(std::uint64_t number) const
{
    const auto found = this->slots.find(slotOf(number));
    return found == this->slots.end() ? 0 : found->second.version;
}

bool ClaimLog::isSlotFree(std::uint64_t number, absl::Time wallNow) const
{
    const auto found = this->slots.find(slotOf(number));
    return found == this->slots.end() || found->second.number == number
        || found->second.newestAt + kClaimRetention < wallNow;
}

const ClaimEntry *ClaimLog::find(const Fingerprint &key) const
{
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? nullptr : &found->second;
}

const ClaimEntry *ClaimLog::findByFence(std::uint64_t fence) const
{
    const auto found = this->fences.find(fence);
    return found == this->fences.end() ? nullptr : this->find(found->second);
}

std::optional<std::uint64_t> ClaimLog::fenceOf(std::uint64_t attempt) const
{
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? std::nullopt : std::optional(found->second);
}

void ClaimLog::expire(absl::Time wallNow)
{
    if (wallNow < this->nextExpiryAt)
        return;
    this->nextExpiryAt = wallNow + kExpiryPause;
    absl::erase_if(this->entries, [&](const auto &item) {
        const ClaimRecord &claim = item.second.claim;
        if (claim.at + kClaimRetention >= wallNow)
            return false;
        this->fences.erase(claim.fence);
        this->attempts.erase(claim.attempt);
        return true;
    });
}

void ClaimLog::recordSlot(std::uint64_t slot, std::uint64_t version, const ClaimSegment &segment)
{
    this->slots[slot] = {version, segment.number(), segment.newestAt()};
}

void ClaimLog::applyRecords(const ClaimSegment &segment, std::size_t from)
{
    for (std::size_t index = from; index < segment.records().size(); ++index)
        this->apply(segment.records()[index]);
}

void ClaimLog::apply(const ClaimRecord &record)
{
    if (record.kind == ClaimRecord::Kind::Claimed) {
        ClaimEntry &entry = this->entries[record.key];
        if (entry.claim.fence != 0) {
            this->fences.erase(entry.claim.fence);
            this->attempts.erase(entry.claim.attempt);
        }
        entry = ClaimEntry();
        entry.claim = record;
        this->fences[record.fence] = record.key;
        this->attempts[record.attempt] = record.fence;
        return;
    }
    const auto fence = this->fences.find(record.fence);
    // A newer attempt replaced this one, or its entry was removed after the retention.
    if (fence == this->fences.end())
        return;
    const auto found = this->entries.find(fence->second);
    ClaimEntry &entry = found->second;
    if (entry.state == ClaimEntry::State::Done)
        return;
    if (record.kind == ClaimRecord::Kind::NotRun) {
        this->attempts.erase(entry.claim.attempt);
        this->entries.erase(found);
        this->fences.erase(fence);
        return;
    }
    if (record.kind == ClaimRecord::Kind::Unknown) {
        entry.state = ClaimEntry::State::Unknown;
        return;
    }
    entry.state = ClaimEntry::State::Done;
    entry.answer = record.answer;
    entry.isAnswerKept = record.isAnswerKept;
}

} // namespace foxtailtally
