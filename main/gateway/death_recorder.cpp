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

/** Pause after a write that the store did not take, doubled up to the second value: the writes of
 * an outage must not add to what the store has to recover from. */
constexpr absl::Duration kRetryPause = absl::Seconds(1);
constexpr absl::Duration kLongestRetryPause = absl::Seconds(8);

/** Most writes that wait; a storm of deaths must not fill the store. */
constexpr std::size_t kMostPending = 64;

/** Expired objects that are removed after a write. */
constexpr int kMostTidied = 4;

constexpr int kStatusConflict = 409;
constexpr int kStatusNotFound = 404;

bool isDone(int status)
{
    // The object is there already when an answer was lost, or is gone already.
    return status < 300 || status == kStatusConflict || status == kStatusNotFound;
}

} // namespace

DeathRecorder::DeathRecorder(event_base *base, const std::string &storeAddress)
    : writer(base, storeAddress, *this)
    , retryTimer(base,
                 [this] {
                     this->isInWork = false;
                     this->sendNext();
                 })
    , retryPause(kRetryPause)
{ }

std::string DeathRecorder::nameOf(const CrashKey &death)
{
    return absl::StrCat(fingerprintText(death.fingerprint), "-",
                        absl::Hex(death.incarnationHash, absl::kZeroPad16));
}

std::optional<CrashKey> DeathRecorder::keyOf(std::string_view name)
{
    const std::size_t dash = name.find('-');
    CrashKey key;
    if (dash == std::string_view::npos || !parseFingerprint(name.substr(0, dash), key.fingerprint)
        || !absl::SimpleHexAtoi(asAbsl(name.substr(dash + 1)), &key.incarnationHash))
        return std::nullopt;
    return key;
}

void DeathRecorder::onStored(const std::string &name, absl::Time expiry)
{
    this->stored[name] = expiry;
}

void DeathRecorder::onRemoved(const std::string &name)
{
    this->stored.erase(name);
    this->own.erase(name);
}

void DeathRecorder::onTick(const Quarantine &quarantine, absl::Time now, absl::Time timeOfDay)
{
    // What nobody else has reason to remove.
    for (const auto &[name, death] : this->own) {
        if (!quarantine.has(death))
            this->remove(name);
    }
    for (CrashReport report : quarantine.deathsToRecord(now)) {
        const CrashKey key = crashKey(report);
        const std::string name = nameOf(key);
        if (this->isKnown(name) || this->pending.size() >= kMostPending)
            continue;
        const absl::Time expiry = report.diedAt + kQuarantineDuration;
        report.diedAt += timeOfDay - now;
        this->own[name] = key;
        this->pending.push_back({false, name, platform::encodeCrashReport(name, report), expiry});
    }
    this->sendNext();
}

bool DeathRecorder::isKnown(const std::string &name) const
{
    return this->stored.contains(name) || this->own.contains(name);
}

void DeathRecorder::remove(const std::string &name)
{
    const bool isPending = std::any_of(this->pending.begin(), this->pending.end(),
                                       [&name](const Write &item) { return item.name == name; });
    if (!isPending && this->pending.size() < kMostPending)
        this->pending.push_back({true, name, {}, {}});
}

void DeathRecorder::sendNext()
{
    if (this->isInWork || this->pending.empty())
        return;
    this->isInWork = true;
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
    logEvent(isDone(status) ? LogLevel::Info : LogLevel::Warning, "death_recorded",
             {{"name", done.name}, {"removed", done.isRemoval}, {"status", status}});
    if (!isDone(status)) {
        this->retry();
        return;
    }
    this->retryPause = kRetryPause;
    this->pending.pop_front();
    if (done.isRemoval) {
        this->onRemoved(done.name);
    } else {
        this->onStored(done.name, done.expiry);
        const absl::Time now = Clock::now();
        int tidied = 0;
        for (const auto &[name, expiry] : this->stored) {
            if (expiry <= now && tidied++ < kMostTidied)
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
    // isInWork stays, so that a tick does not send before the pause is over.
    this->retryTimer.start(this->retryPause);
    this->retryPause = std::min(this->retryPause * 2, kLongestRetryPause);
}

} // namespace foxtailtally
