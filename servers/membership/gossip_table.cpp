#include "servers/membership/gossip_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtailtally {

namespace {

std::uint32_t wholeMs(absl::Duration duration)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(absl::ToInt64Milliseconds(duration), 0, UINT32_MAX));
}

} // namespace

void GossipTable::setSummary(const GroupSummary &summary, absl::Time now)
{
    Summary &held = this->summaryByGroup[summary.group];
    held = {summary, now, true, 0, held.lastSend};
}

void GossipTable::addCrashReport(const CrashReportEntry &crashReport, absl::Time now)
{
    this->merge(crashReport, now);
}

bool GossipTable::merge(const SummaryEntry &entry, absl::Time now)
{
    const absl::Time takenAt = now - absl::Milliseconds(entry.ageMs);
    if (takenAt + kSummaryLifetime <= now)
        return false;
    const auto [held, isNew] = this->summaryByGroup.try_emplace(entry.summary.group);
    const GroupSummary &known = held->second.summary;
    const bool isSameOwner = known.owner == entry.summary.owner
        && known.ownerIncarnation == entry.summary.ownerIncarnation;
    // Sequence numbers of different owners cannot be compared; the age is exact up to the network
    // delay.
    const bool isNewer = isNew
        || (isSameOwner ? entry.summary.sequence > known.sequence : takenAt > held->second.takenAt);
    if (isNewer)
        held->second = {entry.summary, takenAt, false, 0, held->second.lastSend};
    return isNewer;
}

bool GossipTable::merge(const CrashReportEntry &entry, absl::Time now)
{
    if (entry.content.size() > kMaxCrashReportBytes || entry.remainingMs == 0)
        return false;
    const absl::Time expiresAt = now + absl::Milliseconds(entry.remainingMs);
    const auto [held, isNew] = this->crashReportByKey.try_emplace(entry.key);
    StoredCrashReport &crashReport = held->second;
    // Copies that arrive over other paths differ slightly in their remaining time.
    const bool isNewer = isNew
        || (crashReport.content != entry.content && expiresAt > crashReport.expiresAt)
        || expiresAt > crashReport.expiresAt + absl::Seconds(60);
    if (!isNewer)
        return false;
    crashReport = {entry.content, expiresAt, 0};
    if (this->crashReportByKey.size() > kMaxCrashReports) {
        const auto first =
            std::min_element(this->crashReportByKey.begin(), this->crashReportByKey.end(),
                             [](const auto &left, const auto &right) {
                                 return left.second.expiresAt < right.second.expiresAt;
                             });
        this->crashReportByKey.erase(first);
    }
    return true;
}

void GossipTable::expire(absl::Time now)
{
    absl::erase_if(this->summaryByGroup, [&](const auto &entry) {
        return entry.second.takenAt + kSummaryLifetime <= now;
    });
    absl::erase_if(this->crashReportByKey,
                   [&](const auto &entry) { return entry.second.expiresAt <= now; });
}

std::vector<SummaryEntry> GossipTable::takeSummaries(std::size_t bytes, std::uint32_t limit,
                                                     absl::Time now)
{
    std::vector<Summary *> candidates;
    for (auto &[group, held] : this->summaryByGroup)
        if (held.isOwn || held.transmissions < limit)
            candidates.push_back(&held);
    std::sort(candidates.begin(), candidates.end(), [](const Summary *left, const Summary *right) {
        if (left->isOwn != right->isOwn)
            return left->isOwn;
        return std::tie(left->transmissions, left->lastSend)
            < std::tie(right->transmissions, right->lastSend);
    });
    std::vector<SummaryEntry> taken;
    for (Summary *held : candidates) {
        SummaryEntry packed {held->summary, wholeMs(now - held->takenAt)};
        const std::size_t size = packedSize(packed);
        if (size > bytes)
            break;
        bytes -= size;
        ++held->transmissions;
        held->lastSend = ++this->sends;
        taken.push_back(std::move(packed));
    }
    return taken;
}

std::vector<CrashReportEntry> GossipTable::takeCrashReports(std::size_t bytes, std::uint32_t limit,
                                                            absl::Time now)
{
    std::vector<CrashReportEntry> taken;
    std::vector<std::pair<const Fingerprint, StoredCrashReport> *> candidates;
    for (auto &entry : this->crashReportByKey)
        if (entry.second.transmissions < limit)
            candidates.push_back(&entry);
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto *left, const auto *right) {
        return left->second.transmissions < right->second.transmissions;
    });
    for (auto *entry : candidates) {
        CrashReportEntry packed {entry->first, entry->second.content,
                                 wholeMs(entry->second.expiresAt - now)};
        const std::size_t size = packedSize(packed);
        if (size > bytes)
            break;
        bytes -= size;
        ++entry->second.transmissions;
        taken.push_back(std::move(packed));
    }
    return taken;
}

std::vector<GroupSummary> GossipTable::summaries(absl::Time now) const
{
    std::vector<GroupSummary> all;
    for (const auto &[group, held] : this->summaryByGroup)
        if (held.takenAt + kSummaryLifetime > now)
            all.push_back(held.summary);
    return all;
}

std::vector<CrashReportEntry> GossipTable::crashReports(absl::Time now) const
{
    std::vector<CrashReportEntry> all;
    for (const auto &[key, held] : this->crashReportByKey)
        if (held.expiresAt > now)
            all.push_back({key, held.content, wholeMs(held.expiresAt - now)});
    return all;
}

} // namespace foxtailtally
