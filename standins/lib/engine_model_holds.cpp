// EngineModel: memory held for other engines, commands and load reports.

#include "standins/lib/engine_model.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace foxtailtally {

namespace {

std::vector<EngineHold> valuesOf(const absl::btree_map<std::string, EngineHold> &holds)
{
    std::vector<EngineHold> values;
    values.reserve(holds.size());
    for (const auto &[id, hold] : holds) {
        values.push_back(hold);
    }
    return values;
}

std::string versionKey(const std::string &kind, const std::string &name)
{
    return absl::StrCat(kind, " ", name);
}

} // namespace

std::error_code EngineModel::addHold(absl::btree_map<std::string, EngineHold> &holds,
                                     const EngineHold &hold, absl::Time now)
{
    if (!this->alive) {
        return Error::ServerLost;
    }
    if (hold.tokens < 0 || hold.expires <= now) {
        return Error::RequestMalformed;
    }
    const auto old = holds.find(hold.id);
    const std::int64_t replaced = old == holds.end() ? 0 : old->second.tokens;
    if (this->held - replaced + hold.tokens > this->options.memoryTokens) {
        return Error::ServerOverloaded;
    }
    this->setHeld(this->held - replaced + hold.tokens, now);
    holds[hold.id] = hold;
    return {};
}

bool EngineModel::freeHold(absl::btree_map<std::string, EngineHold> &holds, const std::string &id,
                           absl::Time now)
{
    const auto found = holds.find(id);
    if (found == holds.end()) {
        return false;
    }
    this->setHeld(this->held - found->second.tokens, now);
    holds.erase(found);
    return true;
}

void EngineModel::expireHolds(absl::Time now)
{
    for (auto *holds : {&this->reservationHolds, &this->exportHolds, &this->importHolds}) {
        for (auto hold = holds->begin(); hold != holds->end();) {
            if (hold->second.expires > now) {
                ++hold;
                continue;
            }
            this->setHeld(this->held - hold->second.tokens, now);
            hold = holds->erase(hold);
        }
    }
}

std::error_code EngineModel::reserve(const EngineHold &hold, absl::Time now)
{
    this->expireHolds(now);
    return this->addHold(this->reservationHolds, hold, now);
}

bool EngineModel::freeReservation(const std::string &id, absl::Time now)
{
    this->expireHolds(now);
    return this->freeHold(this->reservationHolds, id, now);
}

std::vector<EngineHold> EngineModel::reservations(absl::Time now)
{
    this->expireHolds(now);
    return valuesOf(this->reservationHolds);
}

Result<EngineHold> EngineModel::exportContext(const RequestId &request, const std::string &owner,
                                              absl::Time expires, absl::Time now)
{
    this->expireHolds(now);
    const ActiveRequest *entry = this->find(request);
    if (entry == nullptr) {
        return Error::StoreNotFound;
    }
    const std::int64_t tokens = entry->isPrefilling()
        ? entry->computedTokens
        : entry->request.promptTokens + entry->nextOffset;
    const EngineHold hold {
        absl::StrCat(this->id.str(), "-", this->currentIncarnation, "-", ++this->exportCount),
        owner, tokens, expires};
    if (const std::error_code error = this->addHold(this->exportHolds, hold, now)) {
        return error;
    }
    return hold;
}

bool EngineModel::freeExport(const std::string &id, absl::Time now)
{
    this->expireHolds(now);
    return this->freeHold(this->exportHolds, id, now);
}

std::vector<EngineHold> EngineModel::exports(absl::Time now)
{
    this->expireHolds(now);
    return valuesOf(this->exportHolds);
}

std::error_code EngineModel::importContext(const EngineHold &hold, absl::Time now)
{
    this->expireHolds(now);
    return this->addHold(this->importHolds, hold, now);
}

std::error_code EngineModel::applyCommand(const FencedCommand &command, absl::Time /*now*/)
{
    if (!this->alive) {
        return Error::ServerLost;
    }
    if (this->options.checksFence && command.fence < this->highestFence) {
        return Error::FenceRejected;
    }
    this->highestFence = std::max(this->highestFence, command.fence);
    this->versions[versionKey(command.kind, command.name)] = command.version;
    return {};
}

std::string EngineModel::commandedVersion(const std::string &kind, const std::string &name) const
{
    const auto found = this->versions.find(versionKey(kind, name));
    return found == this->versions.end() ? std::string() : found->second;
}

void EngineModel::takeSnapshots(absl::Time until)
{
    // All reports due since the last change are equal, so only those that load() can still return
    // are created; the others only advance the sequence number.
    absl::Time due = this->nextSnapshotAt;
    if (due > until) {
        return;
    }
    const std::int64_t count = (until - due) / this->options.reportInterval;
    const std::int64_t kept = this->options.reportLag / this->options.reportInterval + 2;
    const std::int64_t skipped = std::max<std::int64_t>(0, count - kept);
    due += this->options.reportInterval * skipped;
    this->reportSequence += static_cast<std::uint64_t>(skipped);
    for (; due <= until; due += this->options.reportInterval) {
        LoadReport report;
        report.server = this->id;
        report.incarnation = this->currentIncarnation;
        report.sequence = ++this->reportSequence;
        report.running = this->running();
        report.queued = this->queued();
        report.heldTokens = this->held;
        report.cachedBlocks = this->cache.blocks();
        report.warm = this->isWarm();
        this->snapshots.push_back({due, std::move(report)});
    }
    this->nextSnapshotAt = due;
    const absl::Time visible = until - this->options.reportLag;
    while (this->snapshots.size() > 1 && this->snapshots[1].at <= visible) {
        this->snapshots.pop_front();
    }
}

LoadReport EngineModel::load(absl::Time now)
{
    this->takeSnapshots(now);
    LoadReport report = this->snapshots.front().report;
    report.age = now - this->snapshots.front().at;
    return report;
}

EngineEvents EngineModel::events(std::uint64_t after, absl::Time now) const
{
    EngineEvents page;
    page.events = this->cache.events(after, now);
    page.first = this->cache.firstSequence();
    page.last = page.events.empty() ? this->cache.lastVisible(now) : page.events.back().sequence;
    return page;
}

} // namespace foxtailtally
