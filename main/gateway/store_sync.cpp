#include "main/gateway/store_sync.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/text.h"
#include "main/gateway/cold_servers.h"
#include "main/gateway/held_config.h"
#include "servers/quarantine/stored_reports.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace foxtailtally {

namespace {

using platform::ObjectChange;
using platform::StoredObject;

constexpr KindWatcher::Timing kConfigTiming = {absl::Milliseconds(60)};
constexpr KindWatcher::Timing kServerTiming = {absl::Milliseconds(100)};
constexpr KindWatcher::Timing kEvacuationTiming = {absl::Milliseconds(100)};
constexpr KindWatcher::Timing kDeathTiming = {absl::Milliseconds(100)};
constexpr KindWatcher::Timing kInstanceTiming = {absl::Seconds(1), true};

/** Delay before the list of instances is read when all of them start at once: they start within a
 * third of a second of each other, and one that misses the others reads everything from the store
 * by itself. */
constexpr absl::Duration kFirstStartDelay = absl::Seconds(1);

/** Capacity from which an instance can serve a whole failure domain as its aggregator: a quarter of
 * a core and 200 megabits per second. Weaker ones follow, and let the others register first. */
constexpr double kMinAggregatorCapacity = 50;
/** The same delay for weaker instances; the list that they read may be some seconds old. */
constexpr absl::Duration kWeakFirstStartDelay = absl::Milliseconds(2500);
/** Delay before an instance that found no other one at the first start checks again, and how often
 * it does so. */
constexpr absl::Duration kNoPeerRetryDelay = absl::Milliseconds(1500);
constexpr int kMaxNoPeerRetries = 3;
/** If this many listed instances of the domain rank before this one, it need not register. */
constexpr std::size_t kEnoughListedPeers = 3;
/** Time after which an unlisted instance that follows nobody registers; chosen at random between
 * once and twice this value. */
constexpr absl::Duration kUnlistedAggregatorDelay = absl::Seconds(2);

/** Delay between attempts to register this instance in the store. */
constexpr absl::Duration kRegistrationRetryDelay = absl::Seconds(1);

constexpr int kStatusConflict = 409;

/** Part of the memory for objects of the store that recent changes of one kind may take; the rest
 * is for the objects themselves and for responses. */
constexpr double kKeptChangesShare = 0.1;

/** Log lines a second for entries of one kind that cannot be decoded; there may be thousands. */
constexpr int kMaxUnreadableLines = 5;
/** Longest content of such an entry that is kept for other instances, in bytes. */
constexpr std::size_t kMaxUnreadableSpecBytes = 1024;
constexpr std::size_t kMaxLoggedNameBytes = 100;

/** Drops the content of an object that cannot be decoded, unless it is short: an instance of a
 * later version may be able to decode it. */
void dropLongContent(StoredObject &object)
{
    if (object.spec.size() > kMaxUnreadableSpecBytes)
        object.spec.clear();
}

} // namespace

/** Base of the event receivers; announces changes of one kind to other instances. */
class StoreSync::RelayedKindEvents : public KindEvents
{
public:
    RelayedKindEvents(StoreSync &sync, std::string_view kind)
        : sync(sync)
        , context(sync.context)
        , kind(kind)
    { }

    void onConfirmed(absl::Time) override { }
    void onLaterEra() final { this->sync.eraTimer.start(absl::ZeroDuration()); }
    void onUnnamed(std::size_t count) final
    {
        this->countUnreadable(count, LogLevel::Warning, "entries_unnamed", {{"kind", this->kind}});
    }
    void onCacheChanged() final
    {
        updateColdLimits(this->context, Clock::now());
        this->sync.relay.onChanged(this->kind);
        this->context.exchange.announceStoreChange();
    }

protected:
    /** The entry @p object, of another writer or of another version, cannot be decoded. */
    void reportUnreadable(LogLevel level, std::string_view event, const StoredObject &object)
    {
        this->countUnreadable(
            1, level, event,
            {{"name", object.name.substr(0, kMaxLoggedNameBytes)}, {"revision", object.revision}});
    }

    StoreSync &sync;
    GatewayContext &context;

private:
    void countUnreadable(std::size_t count, LogLevel level, std::string_view event,
                         nlohmann::json fields)
    {
        this->context.metrics.counter("foxtailtally_foreign_entries_total").add(count);
        const absl::Time now = Clock::now();
        if (now - this->linesSince > absl::Seconds(1)) {
            this->linesSince = now;
            this->lines = 0;
        }
        this->unlogged += count;
        if (this->lines++ >= kMaxUnreadableLines)
            return;
        fields["count"] = std::exchange(this->unlogged, 0);
        logEvent(level, event, fields);
    }

    std::string kind;
    /** Entries that have been counted but not logged. */
    std::size_t unlogged = 0;
    absl::Time linesSince = absl::InfinitePast();
    int lines = 0;
};

class StoreSync::ConfigEvents final : public RelayedKindEvents
{
public:
    explicit ConfigEvents(StoreSync &sync)
        : RelayedKindEvents(sync, platform::kConfigKind)
    { }

    void onObjects(std::vector<StoredObject> &objects, bool, absl::Time) override
    {
        for (StoredObject &object : objects)
            this->adopt(object);
        this->held.addIfMissing(objects);
    }
    void onChange(ObjectChange &change, bool, absl::Time) override
    {
        if (!change.isDeleted)
            this->adopt(change.object);
        else if (change.object.name == platform::kConfigName)
            this->held.onDeleted(change);
    }
    void onConfirmed(absl::Time moment) override
    {
        if (this->context.config)
            this->context.freshness.confirm(moment);
    }
    bool isNewest() const override { return !this->held.config() || this->held.isShown(); }
    std::int64_t version() const override { return this->held.version(); }
    std::size_t retainedObjects() const override
    {
        return this->held.config() && !this->held.isShown() ? 1 : 0;
    }

private:
    void adopt(StoredObject &object)
    {
        if (object.name != platform::kConfigName) {
            object.spec.clear();
            return;
        }
        switch (this->held.adopt(object)) {
        case HeldConfig::Outcome::Unchanged:
            return;
        case HeldConfig::Outcome::Unreadable:
            this->reportUnreadable(LogLevel::Error, "config_unreadable", object);
            return;
        case HeldConfig::Outcome::Retained:
            logEvent(LogLevel::Warning, "config_retained",
                     {{"version", this->held.version()}, {"revision", object.revision}});
            return;
        case HeldConfig::Outcome::Adopted:
            if (this->context.config)
                this->context.configChangedAt = Clock::now();
            this->context.config = this->held.config();
            logEvent(LogLevel::Info, "config_adopted",
                     {{"version", this->held.version()},
                      {"revision", object.revision},
                      {"retained", object.isRetained},
                      {"routes", this->context.config->routeCount()}});
            return;
        }
    }

    HeldConfig held;
};

class StoreSync::ServerEvents final : public RelayedKindEvents
{
public:
    explicit ServerEvents(StoreSync &sync)
        : RelayedKindEvents(sync, platform::kServerKind)
    { }

    void onRestored(const StorePosition &, const StorePosition &, absl::Time now) override
    {
        this->context.directory.onRestored(now);
    }
    std::size_t retainedObjects() const override
    {
        return this->context.directory.heldAgainstStore(Clock::now());
    }
    void onObjects(std::vector<StoredObject> &objects, bool unsettled, absl::Time now) override
    {
        std::vector<ServerEntry> entries;
        for (StoredObject &object : objects) {
            if (const Result<ServerEntry> entry = this->decode(object); entry.ok())
                entries.push_back(*entry);
        }
        this->context.directory.onList(entries, unsettled, now);
        if (!std::exchange(this->sync.serversListed, true))
            this->firstListedAt = now;
        logEvent(LogLevel::Info, "servers_listed",
                 {{"servers", entries.size()},
                  {"unsettled", unsettled},
                  {"held_against_store", this->context.directory.heldAgainstStore(now)}});
    }
    void onChange(ObjectChange &change, bool unsettled, absl::Time now) override
    {
        const BackendServerId id(change.object.name);
        if (change.isDeleted) {
            this->context.directory.onRemoved(id, unsettled, now);
            logEvent(LogLevel::Info, "server_removed",
                     {{"server", id.str()}, {"unsettled", unsettled}});
            return;
        }
        const Result<ServerEntry> entry = this->decode(change.object);
        if (!entry.ok()) {
            // The entry of another writer has replaced the server's own entry.
            this->context.directory.onRemoved(id, false, now);
            return;
        }
        const ServerDirectory::Server *known = this->context.directory.find(id);
        const bool isNews = !known || known->entry.leaving != entry->leaving
            || known->entry.incarnation != entry->incarnation;
        this->context.directory.onEntry(*entry, now);
        if (isNews)
            logEvent(LogLevel::Info, "server_changed",
                     {{"server", id.str()},
                      {"leaving", entry->leaving},
                      {"cold_ms", absl::ToInt64Milliseconds(entry->coldLeft)},
                      {"incarnation", entry->incarnation}});
    }

    /** When this process has read the list for the first time. */
    absl::Time firstListed() const { return this->firstListedAt; }

private:
    Result<ServerEntry> decode(StoredObject &object)
    {
        Result<ServerEntry> entry = platform::decodeServer(object);
        if (!entry.ok()) {
            this->reportUnreadable(LogLevel::Warning, "server_entry_unreadable", object);
            dropLongContent(object);
        }
        return entry;
    }

    absl::Time firstListedAt = absl::InfiniteFuture();
};

class StoreSync::EvacuationEvents final : public RelayedKindEvents
{
public:
    explicit EvacuationEvents(StoreSync &sync)
        : RelayedKindEvents(sync, platform::kEvacuationKind)
    { }

    void onRestored(const StorePosition &, const StorePosition &, absl::Time now) override
    {
        this->context.directory.evacuations().onRestored(now);
        this->isRestored = true;
    }
    std::size_t retainedObjects() const override
    {
        return this->context.directory.evacuations().heldAgainstStore(Clock::now()).size();
    }
    void onObjects(std::vector<StoredObject> &objects, bool, absl::Time now) override
    {
        absl::btree_set<FailureDomainId> domains;
        for (StoredObject &object : objects) {
            domains.insert(FailureDomainId(object.name));
            object.spec.clear();
        }
        EvacuationTable &evacuations = this->context.directory.evacuations();
        evacuations.onList(domains, now);
        if (!std::exchange(this->isRestored, false))
            return;
        for (const FailureDomainId &domain : evacuations.heldAgainstStore(now))
            logEvent(LogLevel::Info, "evacuation_kept_against_copy",
                     {{"domain", domain.str()},
                      {"out", evacuations.isEvacuated(domain, now)},
                      {"grace_ms",
                       absl::ToInt64Milliseconds(domains.contains(domain)
                                                     ? EvacuationTable::kEndedGrace
                                                     : EvacuationTable::kMissingGrace)}});
    }
    void onChange(ObjectChange &change, bool, absl::Time now) override
    {
        change.object.spec.clear();
        this->context.directory.evacuations().onChange(FailureDomainId(change.object.name),
                                                       !change.isDeleted, now);
        logEvent(LogLevel::Info, "domain_evacuation",
                 {{"domain", change.object.name}, {"out", !change.isDeleted}});
    }

private:
    /** The next list is the first one after a restore. */
    bool isRestored = false;
};

/** Server deaths under calls; they are stored to outlive the instances that saw them. */
class StoreSync::DeathEvents final : public RelayedKindEvents
{
public:
    explicit DeathEvents(StoreSync &sync)
        : RelayedKindEvents(sync, platform::kCrashReportKind)
    { }

    void onRestored(const StorePosition &, const StorePosition &, absl::Time) override
    {
        this->reports.onRestored();
        this->isRestored = true;
    }
    std::size_t retainedObjects() const override { return this->reports.lostCount(); }
    void onObjects(std::vector<StoredObject> &objects, bool, absl::Time now) override
    {
        absl::btree_set<std::string> listed;
        for (StoredObject &object : objects) {
            listed.insert(object.name);
            this->adopt(object, now);
        }
        const std::vector<std::string> removed = this->reports.onList(listed, now);
        if (std::exchange(this->isRestored, false))
            this->sync.recorder.onRestored(listed);
        for (const std::string &name : removed)
            this->withdraw(name, now);
    }
    void onChange(ObjectChange &change, bool, absl::Time now) override
    {
        if (change.isDeleted) {
            this->reports.onRemoved(change.object.name);
            this->withdraw(change.object.name, now);
            return;
        }
        this->reports.onStored(change.object.name);
        this->adopt(change.object, now);
    }
    void onTick(absl::Time now) { this->reports.onTick(now); }

private:
    void adopt(StoredObject &object, absl::Time now)
    {
        Result<CrashReport> report = platform::decodeCrashReport(object);
        if (!report.ok()) {
            this->reportUnreadable(LogLevel::Warning, "death_entry_unreadable", object);
            dropLongContent(object);
            return;
        }
        const absl::Duration age = Clock::wallNow() - report->diedAt;
        const absl::Time diedAt = now - std::max(age, absl::ZeroDuration());
        report->causeSince += diedAt - report->diedAt;
        report->diedAt = diedAt;
        this->sync.recorder.onStored(object.name, report->diedAt + kQuarantineDuration);
        const std::optional<CrashKey> death = DeathRecorder::parseObjectName(object.name);
        if (death && this->context.quarantine.isWithdrawn(*death)) {
            this->removeAgain(object.name);
            return;
        }
        this->context.quarantine.onCrashReport(*report, now);
    }
    /** The object was removed before, and is in the store again: the store was restored from an
     * older copy, or executed a write late. Only instances that read the store remove it, so that
     * not all do. */
    void removeAgain(const std::string &name)
    {
        logEvent(LogLevel::Info, "withdrawn_death_in_store", {{"name", name}});
        if (!this->context.exchange.view().aggregator())
            this->sync.recorder.removeWithdrawn(name);
    }
    /** The object was removed by an operator or by the instance that wrote it. */
    void withdraw(const std::string &name, absl::Time now)
    {
        this->sync.recorder.onRemoved(name);
        if (const std::optional<CrashKey> death = DeathRecorder::parseObjectName(name)) {
            Quarantine &quarantine = this->context.quarantine;
            quarantine.withdraw(*death, now);
            // The store need not hold all deaths; the others must not keep it quarantined.
            const absl::btree_set<std::string> names = this->reports.names();
            const bool isLifted =
                quarantine.check(death->fingerprint, now) == QuarantineState::Quarantined
                && std::none_of(names.begin(), names.end(), [&](const auto &other) {
                       return DeathRecorder::isObjectOf(other, death->fingerprint);
                   });
            if (isLifted)
                quarantine.withdrawAll(death->fingerprint, now);
        }
        logEvent(LogLevel::Info, "death_withdrawn", {{"name", name}});
    }

    StoredReports reports;
    /** The next list is the first one after a restore. */
    bool isRestored = false;
};

class StoreSync::InstanceEvents final : public RelayedKindEvents
{
public:
    explicit InstanceEvents(StoreSync &sync)
        : RelayedKindEvents(sync, platform::kInstanceKind)
    { }

    void onRestored(const StorePosition &, const StorePosition &, absl::Time) override
    {
        this->sync.onInstancesRestored();
        this->isRestored = true;
    }
    void onObjects(std::vector<StoredObject> &objects, bool, absl::Time now) override
    {
        std::optional<InstanceRecord> ownRecord;
        const bool isRestoredList = std::exchange(this->isRestored, false);
        for (StoredObject &object : objects) {
            const Result<InstanceRecord> record = this->adopt(object, isRestoredList, now);
            if (record.ok() && record->id == this->context.settings.id)
                ownRecord = *record;
        }
        this->context.exchange.chooseLinks(now);
        this->sync.onInstancesListed(ownRecord);
    }
    void onChange(ObjectChange &change, bool, absl::Time now) override
    {
        std::optional<InstanceRecord> record;
        if (change.isDeleted)
            this->context.exchange.removeRecord(InstanceId(change.object.name));
        else if (const Result<InstanceRecord> adopted = this->adopt(change.object, false, now);
                 adopted.ok())
            record = *adopted;
        if (change.object.name == this->context.settings.id.str())
            this->sync.onOwnRecord(record);
    }

private:
    Result<InstanceRecord> adopt(StoredObject &object, bool isRestoredList, absl::Time now)
    {
        Result<InstanceRecord> record = platform::decodeInstance(object);
        if (!record.ok()) {
            this->reportUnreadable(LogLevel::Warning, "instance_entry_unreadable", object);
            dropLongContent(object);
        } else if (isRestoredList) {
            this->context.exchange.setRestoredRecord(*record, now);
        } else {
            this->context.exchange.setRecord(*record);
        }
        return record;
    }

    /** The next list is the first one after a restore. */
    bool isRestored = false;
};

/** The store's list of backend servers, for the quarantine. */
class StoreSync::ListedServers final : public ServerListing
{
public:
    ListedServers(const ServerDirectory &directory, const KindWatcher &watcher,
                  absl::Time firstListedAt)
        : directory(directory)
        , watcher(watcher)
        , firstListedAt(firstListedAt)
    { }

    bool has(const BackendServerId &server, Incarnation incarnation) const override
    {
        const ServerDirectory::Server *found = this->directory.find(server);
        return found && found->entry.incarnation == incarnation;
    }
    absl::Time confirmedFrom() const override
    {
        // A restored list has servers that have ended, until the store misses them again. A process
        // that has just started does not know whether the store was restored.
        return std::max({this->watcher.lastStoreFailureAt(), this->directory.lastRestoredAt(),
                         this->firstListedAt});
    }
    absl::Time confirmedUntil() const override { return this->watcher.cache().lastConfirmedAt(); }

private:
    const ServerDirectory &directory;
    const KindWatcher &watcher;
    absl::Time firstListedAt;
};

/**
 * Registers this instance in the store. A write without an answer may be executed seconds later,
 * also after a restart of the instance or a restore of the store. A late creation changes no entry
 * that exists. An entry of this instance that is not its own record, or missing, is written again.
 */
class StoreSync::Registration final : private StoreWriterEvents
{
public:
    Registration(GatewayContext &context, InstanceRecord record)
        : context(context)
        , record(std::move(record))
        , writer(context.base, context.settings.storeAddress, *this)
        , timer(context.base, [this] { this->send(); })
    { }

    /** @p entryExists: the store holds an entry of an earlier incarnation, at another address. */
    void start(bool entryExists)
    {
        if (this->isInFlight)
            return;
        this->isInFlight = true;
        this->entryExists = entryExists;
        this->send();
    }
    /** The store came back from an older copy, which may lack a write in flight. */
    void onRestored() { this->mustRepeat = this->isInFlight; }

private:
    void send()
    {
        this->mustRepeat = false;
        const std::string body = platform::encodeInstance(this->record);
        if (this->entryExists)
            this->writer.send(
                "PUT", platform::objectTarget(platform::kInstanceKind, this->record.id.str()),
                body);
        else
            this->writer.send("POST", platform::listTarget(platform::kInstanceKind, {}), body);
    }

    void onStoreAnswer(int status) override
    {
        // The entry exists already if the response to an earlier call was lost.
        this->entryExists = status == kStatusConflict;
        const bool isRegistered = status < 300 && !this->mustRepeat;
        logEvent(isRegistered ? LogLevel::Info : LogLevel::Warning, "instance_registration",
                 {{"status", status}});
        this->isInFlight = !isRegistered;
        this->context.exchange.setListed(isRegistered);
        if (!isRegistered)
            this->timer.start(this->entryExists ? absl::ZeroDuration() : kRegistrationRetryDelay);
    }
    void onNoStoreAnswer(std::string_view cause) override
    {
        logEvent(LogLevel::Warning, "instance_registration", {{"error", cause}});
        this->timer.start(kRegistrationRetryDelay);
    }

    GatewayContext &context;
    InstanceRecord record;
    StoreWriter writer;
    LoopTimer timer;
    bool isInFlight = false;
    bool entryExists = false;
    /** The store was restored after the write in flight was sent. */
    bool mustRepeat = false;
};

StoreSync::StoreSync(GatewayContext &context)
    : context(context)
    , relay(context.base)
    , recorder(context.base, context.settings.storeAddress)
    , configEvents(std::make_unique<ConfigEvents>(*this))
    , serverEvents(std::make_unique<ServerEvents>(*this))
    , evacuationEvents(std::make_unique<EvacuationEvents>(*this))
    , deathEvents(std::make_unique<DeathEvents>(*this))
    , instanceEvents(std::make_unique<InstanceEvents>(*this))
    , startTimer(context.base, [this] { this->onStartTimer(); })
    , eraTimer(context.base, [this] { this->onPeerUpdate(); })
    , registration(std::make_unique<Registration>(context, instanceRecord(this->context.settings)))
{
    const auto maxKeptBytes = static_cast<std::size_t>(
        static_cast<double>(this->context.memory.share(MemoryOwner::StoreObjects))
        * kKeptChangesShare);
    const auto follow = [this, maxKeptBytes](StoreKind kind, std::string_view name,
                                             const KindWatcher::Timing &timing,
                                             KindEvents &events) {
        auto watcher = std::make_unique<KindWatcher>(
            this->context.base, this->context.settings.storeAddress, this->context.storeSource,
            kind, name, timing, maxKeptBytes, events);
        this->relay.addKind(std::string(name), *watcher);
        return watcher;
    };
    this->watchers.push_back(
        follow(StoreKind::Config, platform::kConfigKind, kConfigTiming, *this->configEvents));
    this->watchers.push_back(
        follow(StoreKind::Servers, platform::kServerKind, kServerTiming, *this->serverEvents));
    this->serverWatcher = this->watchers.back().get();
    this->watchers.push_back(follow(StoreKind::Evacuations, platform::kEvacuationKind,
                                    kEvacuationTiming, *this->evacuationEvents));
    this->watchers.push_back(
        follow(StoreKind::Deaths, platform::kCrashReportKind, kDeathTiming, *this->deathEvents));
    this->instanceWatcher = follow(StoreKind::Instances, platform::kInstanceKind, kInstanceTiming,
                                   *this->instanceEvents);
    this->context.exchange.setPeerUpdateCallback([this] { this->onPeerUpdate(); });
}

StoreSync::~StoreSync() = default;

std::error_code StoreSync::start()
{
    if (const std::error_code error = this->relay.start(this->context.settings.relayAddress))
        return error;
    if (!this->context.settings.isFirstStart) {
        this->instanceWatcher->start();
        return {};
    }
    const bool canAggregate =
        instanceRecord(this->context.settings).capacity >= kMinAggregatorCapacity;
    if (canAggregate)
        this->registration->start(false);
    this->startTimer.start(canAggregate ? kFirstStartDelay : kWeakFirstStartDelay);
    return {};
}

void StoreSync::onTick(absl::Time now)
{
    this->relay.onTick();
    if (this->serversListed)
        this->context.quarantine.withdrawDeathsOfListed(ListedServers(
            this->context.directory, *this->serverWatcher, this->serverEvents->firstListed()));
    this->deathEvents->onTick(now);
    this->recorder.onTick(this->context.quarantine, now, Clock::wallNow());
    const bool isUnlistedAggregator = this->hasStarted && !this->context.exchange.isListedInStore()
        && !this->context.exchange.view().aggregator();
    if (!isUnlistedAggregator) {
        this->unlistedSince = now;
        return;
    }
    const double jitter = 1.0 + this->context.random.uniform();
    if (now - this->unlistedSince > kUnlistedAggregatorDelay * jitter)
        this->registration->start(false);
}

std::vector<const KindWatcher *> StoreSync::kinds() const
{
    std::vector<const KindWatcher *> result = {this->instanceWatcher.get()};
    for (const auto &watcher : this->watchers)
        result.push_back(watcher.get());
    return result;
}

void StoreSync::onPeerUpdate()
{
    this->instanceWatcher->onPeerUpdate();
    for (const auto &watcher : this->watchers)
        watcher->onPeerUpdate();
}

void StoreSync::onInstancesListed(const std::optional<InstanceRecord> &ownRecord)
{
    this->onOwnRecord(ownRecord);
    this->startWatchersOrWait();
}

void StoreSync::onInstancesRestored()
{
    this->registration->onRestored();
}

void StoreSync::onOwnRecord(const std::optional<InstanceRecord> &ownRecord)
{
    const bool isListed = ownRecord == instanceRecord(this->context.settings);
    this->context.exchange.setListed(isListed);
    if (!isListed && this->context.exchange.view().ownRank() < kEnoughListedPeers)
        this->registration->start(ownRecord.has_value());
}

void StoreSync::onStartTimer()
{
    if (this->areInstancesListed)
        this->startWatchersOrWait();
    else
        this->instanceWatcher->start();
}

void StoreSync::startWatchersOrWait()
{
    this->areInstancesListed = true;
    if (this->hasStarted)
        return;
    // At the first start other instances may register soon, and one without peers would read
    // everything from the store.
    const bool waitsForPeers = this->context.settings.isFirstStart
        && this->context.exchange.view().recordCount() == 0
        && this->noPeerRetries++ < kMaxNoPeerRetries;
    if (waitsForPeers) {
        this->startTimer.start(kNoPeerRetryDelay);
        return;
    }
    this->hasStarted = true;
    for (const auto &watcher : this->watchers)
        watcher->start();
}

} // namespace foxtailtally
