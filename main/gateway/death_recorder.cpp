#include "main/gateway/death_recorder.h"

#include "core/clock.h"
#include "core/hash.h"
#include "core/log.h"
#include "core/text.h"
#include "platform/store_objects.h"
#include "servers/quarantine/quarantine.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

/** Delay before a failed write is retried, doubled up to the second value: retries during an outage
 * must not add to the load that the store has to recover from. */
constexpr absl::Duration kInitialRetryDelay = absl::Seconds(1);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(8);

/** Most queued writes; a burst of deaths must not fill the store. */
constexpr std::size_t kMaxPendingWrites = 64;

/** Most expired objects that are removed after a write. */
constexpr int kMaxExpiredRemovals = 4;

constexpr int kStatusConflict = 409;
constexpr int kStatusNotFound = 404;

bool isApplied(int status)
{
    // If an earlier response was lost, the object exists already; a removed object may be gone
    // already.
    return status < 300 || status == kStatusConflict || status == kStatusNotFound;
}

} // namespace

DeathRecorder::DeathRecorder(event_base *base, const std::string &storeAddress)
    : writer(base, storeAddress, *this)
    , retryTimer(base,
                 [this] {
                     this->isBusy = false;
                     this->sendNext();
                 })
    , retryDelay(kInitialRetryDelay)
{ }

std::string DeathRecorder::objectName(const CrashKey &death)
{
    return absl::StrCat(fingerprintText(death.fingerprint), "-",
                        absl::Hex(death.incarnationHash, absl::kZeroPad16));
}

std::optional<CrashKey> DeathRecorder::parseObjectName(std::string_view name)
{
    const std::size_t dash = name.find('-');
    CrashKey key;
    if (dash == std::string_view::npos || !parseFingerprint(name.substr(0, dash), key.fingerprint)
        || !absl::SimpleHexAtoi(asAbsl(name.substr(dash + 1)), &key.incarnationHash))
        return std::nullopt;
    return key;
}

bool DeathRecorder::isObjectOf(std::string_view name, const Fingerprint &fingerprint)
{
    const std::optional<CrashKey> death = parseObjectName(name);
    return death && death->fingerprint == fingerprint;
}

void DeathRecorder::onStored(const std::string &name, absl::Time expiry)
{
    this->stored[name] = expiry;
}

void DeathRecorder::onRemoved(const std::string &name)
{
    this->stored.erase(name);
    this->ownDeaths.erase(name);
}

void DeathRecorder::onRestored(const absl::btree_set<std::string> &listed)
{
    const auto isLost = [&listed](const auto &item) { return !listed.contains(item.first); };
    absl::erase_if(this->stored, isLost);
    absl::erase_if(this->ownDeaths,
                   [&](const auto &item) { return isLost(item) && !this->isPending(item.first); });
    this->mustRepeat = this->isBusy;
}

void DeathRecorder::onTick(const Quarantine &quarantine, absl::Time now, absl::Time wallNow)
{
    // No other instance has a reason to remove these objects.
    for (const auto &[name, death] : this->ownDeaths) {
        if (!quarantine.has(death))
            this->remove(name);
    }
    for (CrashReport report : quarantine.deathsToRecord(now)) {
        const CrashKey key = crashKey(report);
        const std::string name = objectName(key);
        if (this->isKnown(name) || this->pending.size() >= kMaxPendingWrites)
            continue;
        const absl::Time expiry = report.diedAt + kQuarantineDuration;
        report.diedAt += wallNow - now;
        report.causeSince += wallNow - now;
        this->ownDeaths[name] = key;
        this->pending.push_back({false, name, platform::encodeCrashReport(name, report), expiry});
    }
    this->sendNext();
}

bool DeathRecorder::isKnown(const std::string &name) const
{
    return this->stored.contains(name) || this->ownDeaths.contains(name);
}

bool DeathRecorder::isPending(const std::string &name) const
{
    return std::any_of(this->pending.begin(), this->pending.end(),
                       [&name](const Write &item) { return item.name == name; });
}

void DeathRecorder::remove(const std::string &name)
{
    if (!this->isPending(name) && this->pending.size() < kMaxPendingWrites)
        this->pending.push_back({true, name, {}, {}});
}

void DeathRecorder::sendNext()
{
    if (this->isBusy || this->pending.empty())
        return;
    this->isBusy = true;
    this->mustRepeat = false;
    const Write &next = this->pending.front();
    if (next.isRemoval)
        this->writer.send("DELETE", platform::objectTarget(platform::kCrashReportKind, next.name),
                          {});
    else
        this->writer.send("POST", platform::listTarget(platform::kCrashReportKind, {}), next.body);
}

void DeathRecorder::onStoreAnswer(int status)
{
    const Write done = this->pending.front();
    logEvent(isApplied(status) ? LogLevel::Info : LogLevel::Warning, "death_recorded",
             {{"name", done.name}, {"removed", done.isRemoval}, {"status", status}});
    if (!isApplied(status)) {
        this->retry();
        return;
    }
    this->retryDelay = kInitialRetryDelay;
    if (this->mustRepeat) {
        this->retryTimer.start(absl::ZeroDuration());
        return;
    }
    this->pending.pop_front();
    if (done.isRemoval) {
        this->onRemoved(done.name);
    } else {
        this->onStored(done.name, done.expiry);
        const absl::Time now = Clock::now();
        int removals = 0;
        for (const auto &[name, expiry] : this->stored) {
            if (expiry <= now && removals++ < kMaxExpiredRemovals)
                this->remove(name);
        }
    }
    this->retryTimer.start(absl::ZeroDuration());
}

void DeathRecorder::onNoStoreAnswer(std::string_view cause)
{
    logEvent(LogLevel::Warning, "death_recorded",
             {{"name", this->pending.front().name}, {"error", cause}});
    this->retry();
}

void DeathRecorder::retry()
{
    // isBusy stays set, so that a tick does not send before the delay is over.
    this->retryTimer.start(this->retryDelay);
    this->retryDelay = std::min(this->retryDelay * 2, kMaxRetryDelay);
}

} // namespace foxtailtally
