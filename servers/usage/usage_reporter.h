#pragma once

#include "servers/leadership/lease_record.h"
#include "servers/usage/usage_ledger.h"

#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace foxtailtally {

struct ReporterOptions
{
    absl::Duration window = absl::Seconds(5);
    /** Time after the end of a window at which its report is due. */
    absl::Duration due = absl::Seconds(10);
};

/** A window that was settled, for the log. */
struct UsageSettled
{
    std::int64_t window = kNoWindow;
    std::int64_t requests = 0;
    /** False if instances were silent, so that requests may be missing. */
    bool isComplete = false;
};

enum class GiveUpReason : std::uint8_t {
    /** A predecessor may have reported it with other counts. */
    Uncertain,
    /** Its counts are not kept any more. */
    TooOld,
    /** Too many settled windows wait. */
    TooMany,
};

/** Name of @p reason for the log. */
std::string_view nameOf(GiveUpReason reason);

/** Windows that are not reported, for the log. */
struct UsageGivenUp
{
    std::int64_t first = kNoWindow;
    std::int64_t last = kNoWindow;
    GiveUpReason reason = GiveUpReason::TooOld;
};

/**
 * Decides at the holder of the lease which windows are settled, sent and given up. Settled counts
 * never change. The caller passes content() to the lease whenever settle() or onReported() has
 * changed it, and passes each confirmed record to onConfirmed(); next() names a window only if the
 * confirmed record contains it.
 */
class UsageReporter
{
public:
    /** Settled windows that wait in the record. */
    static constexpr std::size_t kMaxWaiting = 12;
    /** Time after the end of a window from which a complete one is settled. */
    static constexpr absl::Duration kSettleAfter = absl::Seconds(1);
    /** Time before the report is due at which a window is settled although instances are silent;
     * it remains for the write of the record and the call. */
    static constexpr absl::Duration kSettleBeforeDue = absl::Seconds(3);

    /** Time for which rows must have been received: processes are silent for UsageLedger::kSilence
     * before the other aggregators send their rows to a new one. */
    static constexpr absl::Duration kReceiveFor = absl::Seconds(5);

    UsageReporter(const UsageLedger &ledger, const ReporterOptions &options)
        : ledger(ledger)
        , options(options)
    { }

    /** The process has acquired the lease. @p confirmed: the record as it was written. */
    void onAcquired(const LeaseRecord &confirmed, absl::Time now);
    /** The process holds the lease no longer. */
    void onLost();
    bool isActive() const { return this->active; }
    /** This instance has received the rows of all domains since @p since; InfiniteFuture: it does
     * not. Windows are settled only kReceiveFor later, when the rows of processes that
     * have ended have arrived as well. */
    void setReceivingSince(absl::Time since) { this->receivingSince = since; }

    /** Settles and gives up what is due; true if content() has changed. */
    bool settle(absl::Time now);
    const LeaseContent &content() const { return this->lease; }
    void onConfirmed(const LeaseContent &confirmed);

    /** The window to send next; null if there is none. Valid until the next change. */
    const SettledWindow *next() const;
    /** The API has accepted the report. A report without a response is sent again as it is. */
    void onReported(std::int64_t window);

    /** Settled and given up since the last call. */
    std::vector<UsageSettled> takeSettled();
    std::vector<UsageGivenUp> takeGivenUp();

private:
    void giveUpThrough(std::int64_t window, GiveUpReason reason);
    void settleWindow(std::int64_t window, bool isComplete);
    void updateReportedThrough();

    const UsageLedger &ledger;
    ReporterOptions options;
    bool active = false;
    /** onAcquired() has changed the content; the next settle() says so. */
    bool isChanged = false;
    absl::Time receivingSince = absl::InfiniteFuture();
    absl::Time uncertainBefore = absl::InfinitePast();
    LeaseContent lease;
    /** The last window that was reported, given up or settled. */
    std::int64_t settledThrough = kNoWindow;
    absl::btree_set<std::int64_t> confirmedWindows;
    std::vector<UsageSettled> settledEvents;
    std::vector<UsageGivenUp> givenUpEvents;
};

} // namespace foxtailtally
