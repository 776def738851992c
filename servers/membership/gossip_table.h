#pragma once

#include "servers/membership/gossip_messages.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <vector>

namespace foxtailtally {

/** Maximum number of crash reports; beyond it, the one that expires first is dropped. */
constexpr std::size_t kMaxCrashReports = 1024;
/** Age at which a group summary is dropped. */
constexpr absl::Duration kSummaryLifetime = absl::Seconds(30);

/**
 * Group summaries and crash reports that spread by gossip, with the number of times each was sent.
 */
class GossipTable
{
public:
    /** Sets a summary of a group that this instance owns. */
    void setSummary(const GroupSummary &summary, absl::Time now);
    void addCrashReport(const CrashReportEntry &crashReport, absl::Time now);
    /** Returns whether @p entry was newer than the stored one. */
    bool merge(const SummaryEntry &entry, absl::Time now);
    bool merge(const CrashReportEntry &entry, absl::Time now);
    void expire(absl::Time now);

    /**
     * Own summaries, then those whose current version was sent fewer than @p limit times, the least
     * sent first, up to @p bytes packed. Among equals the group sent longest ago is first;
     * summaries change about as often as messages are sent, so a fixed order would starve some.
     */
    std::vector<SummaryEntry> takeSummaries(std::size_t bytes, std::uint32_t limit, absl::Time now);
    /** Least sent crash reports first, without those sent @p limit times. */
    std::vector<CrashReportEntry> takeCrashReports(std::size_t bytes, std::uint32_t limit,
                                                   absl::Time now);

    /** All summaries that are not older than kSummaryLifetime. */
    std::vector<GroupSummary> summaries(absl::Time now) const;
    std::vector<CrashReportEntry> crashReports(absl::Time now) const;

private:
    struct Summary
    {
        GroupSummary summary;
        absl::Time takenAt;
        bool isOwn = false;
        std::uint32_t transmissions = 0;
        /** Number of the last send of this group; lower is longer ago. */
        std::uint64_t lastSend = 0;
    };
    struct StoredCrashReport
    {
        std::string content;
        absl::Time expiresAt;
        std::uint32_t transmissions = 0;
    };

    std::uint64_t sends = 0;
    absl::btree_map<GroupId, Summary> summaryByGroup;
    absl::btree_map<Fingerprint, StoredCrashReport> crashReportByKey;
};

} // namespace foxtailtally
