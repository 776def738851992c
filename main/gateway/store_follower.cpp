#include "main/gateway/store_follower.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

using platform::ObjectChange;
using platform::StoredObject;

/** Time for which a watch may wait, by how soon a silent connection must be noticed: keys that are
 * taken away within the revocation bound, servers that leave within two seconds, domains that are
 * taken out within five. */
constexpr KindWatcher::Timing kConfigTiming = {absl::Milliseconds(1000), absl::Milliseconds(700),
                                               absl::Milliseconds(60), absl::Milliseconds(2200)};
constexpr KindWatcher::Timing kServerTiming = {absl::Milliseconds(600), absl::Milliseconds(500),
                                               absl::Milliseconds(100), absl::Milliseconds(1200)};
constexpr KindWatcher::Timing kEvacuationTiming = {
    absl::Milliseconds(1500), absl::Milliseconds(1500), absl::Milliseconds(100),
    absl::Milliseconds(3200)};
/** Late news of an instance does no harm: it is heard of in any case. */
constexpr KindWatcher::Timing kInstanceTiming = {absl::Seconds(10), absl::Seconds(3),
                                                 absl::Seconds(1), absl::InfiniteDuration()};

/** When all instances start at once, the list of them is read after this time: they start within a
 * third of a second of each other, and whoever misses the others reads everything by itself. */
constexpr absl::Duration kFirstStartPause = absl::Seconds(1);

/** Pause between attempts to enter this instance in the store. */
constexpr absl::Duration kRegistrationPause = absl::Seconds(1);
constexpr absl::Duration kRegistrationTime = absl::Milliseconds(900);

constexpr int kStatusConflict = 409;

} // namespace

/** Keeps one kind of object, and tells the instances that follow this one of changes. */
class StoreFollower::KindKeeper : public KindEvents
{
public:
    KindKeeper(StoreFollower &follower, std::string_view kind)
        : follower(follower)
        , context(follower.context)
        , kind(kind)
    { }

    void onConfirmed(absl::Time) override { }
    void onCacheChanged() final { this->follower.relay.onChanged(this->kind); }

protected:
    StoreFollower &follower;
    GatewayContext &context;

private:
    std::string kind;
};

class StoreFollower::ConfigEvents final : public KindKeeper
{
public:
    explicit ConfigEvents(StoreFollower &follower)
        : KindKeeper(follower, platform::kConfigKind)
    { }

    void onObjects(const std::vector<StoredObject> &objects, bool, absl::Time) override
    {
        for (const StoredObject &object : objects)
            this->adopt(object);
    }
    void onChange(const ObjectChange &change, bool, absl::Time) override
    {
        if (!change.isDeleted)
            this->adopt(change.object);
    }
    void onConfirmed(absl::Time moment) override
    {
        if (this->context.config)
            this->context.freshness.confirm(moment);
    }

private:
    void adopt(const StoredObject &object)
    {
        if (object.name != platform::kConfigName || object.revision <= this->revision)
            return;
        Result<std::shared_ptr<const ServingConfig>> config = platform::decodeConfig(object.spec);
        if (!config.ok()) {
            logEvent(LogLevel::Error, "config_unreadable", {{"revision", object.revision}});
            return;
        }
        // Versions never go back within one life of this process.
        if (this->context.config && (*config)->version() < this->context.config->version())
            return;
        this->revision = object.revision;
        this->context.config = std::move(*config);
        logEvent(LogLevel::Info, "config_adopted",
                 {{"version", this->context.config->version()},
                  {"revision", object.revision},
                  {"routes", this->context.config->routeCount()}});
    }

    std::int64_t revision = -1;
};

class StoreFollower::ServerEvents final : public KindKeeper
{
public:
    explicit ServerEvents(StoreFollower &follower)
        : KindKeeper(follower, platform::kServerKind)
    { }

    void onObjects(const std::vector<StoredObject> &objects, bool unsettled,
                   absl::Time now) override
    {
        std::vector<ServerEntry> entries;
        for (const StoredObject &object : objects) {
            if (const Result<ServerEntry> entry = this->decode(object); entry.ok())
                entries.push_back(*entry);
        }
        this->context.directory.onList(entries, unsettled, now);
        this->follower.serversListed = true;
        logEvent(LogLevel::Info, "servers_listed",
                 {{"servers", entries.size()}, {"unsettled", unsettled}});
    }
    void onChange(const ObjectChange &change, bool unsettled, absl::Time now) override
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
            // What an entry of another writer replaced is no longer there.
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

private:
    Result<ServerEntry> decode(const StoredObject &object)
    {
        Result<ServerEntry> entry = platform::decodeServer(object);
        if (!entry.ok()) {
            this->context.metrics.counter("foxtailtally_foreign_entries_total").add();
            logEvent(LogLevel::Warning, "server_entry_unreadable", {{"name", object.name}});
        }
        return entry;
    }
};

class StoreFollower::EvacuationEvents final : public KindKeeper
{
public:
    explicit EvacuationEvents(StoreFollower &follower)
        : KindKeeper(follower, platform::kEvacuationKind)
    { }

    void onObjects(const std::vector<StoredObject> &objects, bool, absl::Time) override
    {
        absl::btree_set<FailureDomainId> domains;
        for (const StoredObject &object : objects)
            domains.insert(FailureDomainId(object.name));
        this->context.directory.replaceEvacuated(std::move(domains));
    }
    void onChange(const ObjectChange &change, bool, absl::Time) override
    {
        this->context.directory.setEvacuated(FailureDomainId(change.object.name),
                                             !change.isDeleted);
        logEvent(LogLevel::Info, "domain_evacuation",
                 {{"domain", change.object.name}, {"out", !change.isDeleted}});
    }
};

class StoreFollower::InstanceEvents final : public KindKeeper
{
public:
    explicit InstanceEvents(StoreFollower &follower)
        : KindKeeper(follower, platform::kInstanceKind)
    { }

    void onObjects(const std::vector<StoredObject> &objects, bool, absl::Time now) override
    {
        std::optional<platform::InstanceEntry> ownEntry;
        for (const StoredObject &object : objects) {
            const Result<platform::InstanceEntry> entry = this->adopt(object, now);
            if (entry.ok() && entry->reader.id == this->context.settings.id)
                ownEntry = *entry;
        }
        this->follower.onInstancesListed(ownEntry);
    }
    void onChange(const ObjectChange &change, bool, absl::Time now) override
    {
        if (!change.isDeleted) {
            this->adopt(change.object, now);
            return;
        }
        this->context.exchange.removePeer(InstanceId(change.object.name));
        this->context.storeSource.removePeer(InstanceId(change.object.name));
    }

private:
    Result<platform::InstanceEntry> adopt(const StoredObject &object, absl::Time now)
    {
        Result<platform::InstanceEntry> entry = platform::decodeInstance(object);
        if (!entry.ok()) {
            logEvent(LogLevel::Warning, "instance_entry_unreadable", {{"name", object.name}});
            return entry;
        }
        this->context.exchange.setPeer(entry->reader.id, entry->address);
        this->context.storeSource.setPeer(entry->reader, now);
        return entry;
    }
};

/** Enters this instance in the store. */
class StoreFollower::Registration final : private OutboundEvents, private IdleEvents
{
public:
    Registration(GatewayContext &context, platform::InstanceEntry entry)
        : context(context)
        , entry(std::move(entry))
        , timer(context.base, [this] { this->send(); })
    { }

    /** @p isKnown: the store holds an entry of an earlier life, at another address. */
    void start(bool isKnown)
    {
        if (this->isInWork)
            return;
        this->isInWork = true;
        this->isKnown = isKnown;
        this->send();
    }

private:
    void send()
    {
        const std::string &address = this->context.settings.storeAddress;
        const std::string target = this->isKnown
            ? platform::objectTarget(platform::kInstanceKind, this->entry.reader.id.str())
            : platform::listTarget(platform::kInstanceKind, {});
        IdleEvents &idleEvents = *this;
        this->connection =
            std::make_unique<OutboundConnection>(this->context.base, address, idleEvents);
        const std::string body = platform::encodeInstance(this->entry);
        this->connection->call(
            absl::StrCat(this->isKnown ? "PUT " : "POST ", target, " HTTP/1.1\r\nHost: ", address,
                         "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                         "\r\n\r\n", body),
            false, {}, *this);
        this->timer.start(kRegistrationTime);
    }

    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        this->status = head.status;
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override
    {
        // An entry is there already when the answer to an earlier call was lost.
        this->isKnown = this->status == kStatusConflict;
        const bool isEntered = this->status < 300;
        logEvent(isEntered ? LogLevel::Info : LogLevel::Warning, "instance_registration",
                 {{"status", this->status}});
        this->isInWork = !isEntered;
        if (isEntered)
            this->timer.stop();
        else
            this->timer.start(this->isKnown ? absl::ZeroDuration() : kRegistrationPause);
    }
    void onCallFailed(OutboundConnection &, std::error_code error) override
    {
        logEvent(LogLevel::Warning, "instance_registration", {{"error", errorName(error)}});
        this->timer.start(kRegistrationPause);
    }
    void onIdleClosed(OutboundConnection &) override { }

    GatewayContext &context;
    platform::InstanceEntry entry;
    LoopTimer timer;
    std::unique_ptr<OutboundConnection> connection;
    int status = 0;
    bool isInWork = false;
    bool isKnown = false;
};

StoreFollower::StoreFollower(GatewayContext &context)
    : context(context)
    , relay(context.base)
    , configEvents(std::make_unique<ConfigEvents>(*this))
    , serverEvents(std::make_unique<ServerEvents>(*this))
    , evacuationEvents(std::make_unique<EvacuationEvents>(*this))
    , instanceEvents(std::make_unique<InstanceEvents>(*this))
    , startTimer(context.base, [this] { this->instanceWatcher->start(); })
    , registration(std::make_unique<Registration>(context, this->wantedEntry()))
{
    const auto follow = [this](std::string_view kind, const KindWatcher::Timing &timing,
                               KindEvents &events) {
        auto watcher = std::make_unique<KindWatcher>(this->context.base, this->context.storeSource,
                                                     kind, timing, events);
        this->relay.addKind(std::string(kind), *watcher);
        return watcher;
    };
    this->watchers.push_back(follow(platform::kConfigKind, kConfigTiming, *this->configEvents));
    this->watchers.push_back(follow(platform::kServerKind, kServerTiming, *this->serverEvents));
    this->watchers.push_back(
        follow(platform::kEvacuationKind, kEvacuationTiming, *this->evacuationEvents));
    this->instanceWatcher = follow(platform::kInstanceKind, kInstanceTiming, *this->instanceEvents);
}

StoreFollower::~StoreFollower() = default;

std::error_code StoreFollower::start()
{
    if (const std::error_code error = this->relay.start(this->context.settings.relayAddress))
        return error;
    if (!this->context.settings.isFirstStart) {
        this->instanceWatcher->start();
        return {};
    }
    this->registration->start(false);
    this->startTimer.start(kFirstStartPause);
    return {};
}

void StoreFollower::onInstancesListed(const std::optional<platform::InstanceEntry> &ownEntry)
{
    if (ownEntry != this->wantedEntry())
        this->registration->start(ownEntry.has_value());
    if (this->hasStarted)
        return;
    this->hasStarted = true;
    for (const auto &watcher : this->watchers)
        watcher->start();
}

platform::InstanceEntry StoreFollower::wantedEntry() const
{
    return {this->context.settings.peerAddress, storeReader(this->context.settings)};
}

} // namespace foxtailtally
