#include "servers/usage/usage_reporter.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace foxtailtally {

std::string_view nameOf(GiveUpReason reason)
{
    switch (reason) {
    case GiveUpReason::Uncertain:
        return "uncertain";
    case GiveUpReason::TooOld:
        return "too_old";
    case GiveUpReason::TooMany:
        break;
    }
    return "too_many";
}

void UsageReporter::onAcquired(const LeaseRecord &record, absl::Time now)
{
    this->active = true;
    this->lease = record.content;
    this->uncertainBefore = record.uncertainBefore;
    this->settledThrough = this->lease.windows.empty()
        ? this->lease.reportedThrough
        : std::max(this->lease.reportedThrough, this->lease.windows.back().window);
    this->confirmedWindows.clear();
    this->onConfirmed(record.content);
    this->isChanged = this->settle(now);
}

void UsageReporter::onLost()
{
    this->active = false;
    this->lease = {};
    this->confirmedWindows.clear();
}

bool UsageReporter::settle(absl::Time now)
{
    if (!this->active)
        return false;
    const bool wasChanged = std::exchange(this->isChanged, false);
    const LeaseContent before = this->lease;
    // Windows that end exactly at this time count as ended before it.
    if (this->uncertainBefore != absl::InfinitePast())
        this->giveUpThrough(usageWindowAt(this->uncertainBefore, this->options.window) - 1,
                            GiveUpReason::Uncertain);
    if (now - this->receivingSince >= kReceiveFor) {
        const std::int64_t current = usageWindowAt(now, this->options.window);
        // Nothing has been reported or counted before the first window with counts.
        if (this->settledThrough == kNoWindow) {
            this->settledThrough = std::min(current, this->ledger.firstWindow().value_or(current));
            --this->settledThrough;
        }
        this->giveUpThrough(current - kUsageWindows - 1, GiveUpReason::TooOld);
        for (std::int64_t window = this->settledThrough + 1; window < current; ++window) {
            const absl::Time end = usageWindowEnd(window, this->options.window);
            if (now < end + kSettleAfter)
                break;
            const bool isComplete = this->ledger.isComplete(window, now);
            if (!isComplete && now < end + this->options.due - kSettleBeforeDue)
                break;
            this->settleWindow(window, isComplete);
        }
    }
    this->updateReportedThrough();
    return wasChanged || this->lease != before;
}

void UsageReporter::settleWindow(std::int64_t window, bool isComplete)
{
    SettledWindow settled = {window, this->ledger.totals(window)};
    const std::int64_t requests =
        std::accumulate(settled.counts.begin(), settled.counts.end(), std::int64_t {0},
                        [](std::int64_t sum, const auto &item) { return sum + item.second; });
    this->settledEvents.push_back({window, requests, isComplete});
    this->lease.windows.push_back(std::move(settled));
    this->settledThrough = window;
    while (this->lease.windows.size() > kMaxWaiting) {
        const std::int64_t oldest = this->lease.windows.front().window;
        this->givenUpEvents.push_back({oldest, oldest, GiveUpReason::TooMany});
        this->lease.windows.erase(this->lease.windows.begin());
    }
}

void UsageReporter::giveUpThrough(std::int64_t window, GiveUpReason reason)
{
    if (window <= this->settledThrough)
        return;
    const std::int64_t first = this->settledThrough == kNoWindow
        ? std::max<std::int64_t>(0, window - kUsageWindows + 1)
        : this->settledThrough + 1;
    this->givenUpEvents.push_back({first, window, reason});
    this->settledThrough = window;
}

void UsageReporter::updateReportedThrough()
{
    this->lease.reportedThrough =
        this->lease.windows.empty() ? this->settledThrough : this->lease.windows.front().window - 1;
}

void UsageReporter::onConfirmed(const LeaseContent &content)
{
    this->confirmedWindows.clear();
    for (const SettledWindow &window : content.windows)
        this->confirmedWindows.insert(window.window);
}

const SettledWindow *UsageReporter::next() const
{
    if (!this->active || this->lease.windows.empty()
        || !this->confirmedWindows.contains(this->lease.windows.front().window))
        return nullptr;
    return &this->lease.windows.front();
}

void UsageReporter::onReported(std::int64_t window)
{
    std::erase_if(this->lease.windows,
                  [window](const SettledWindow &item) { return item.window == window; });
    if (this->active)
        this->updateReportedThrough();
}

std::vector<UsageSettled> UsageReporter::takeSettled()
{
    return std::exchange(this->settledEvents, {});
}

std::vector<UsageGivenUp> UsageReporter::takeGivenUp()
{
    return std::exchange(this->givenUpEvents, {});
}

} // namespace foxtailtally
