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
constexpr KindWatcher::Timing kConfigTiming = {absl::Milliseconds(1000), absl::Milliseconds(60),
                                               absl::Milliseconds(2200)};
constexpr KindWatcher::Timing kServerTiming = {absl::Milliseconds(600), absl::Milliseconds(100),
                                               absl::Milliseconds(1200)};
constexpr KindWatcher::Timing kEvacuationTiming = {
    absl::Milliseconds(1500), absl::Milliseconds(100), absl::Milliseconds(3200)};
/** Late news of an instance does no harm: it is heard of in any case. */
constexpr KindWatcher::Timing kInstanceTiming = {absl::Seconds(10), absl::Seconds(1),
                                                 absl::InfiniteDuration()};

/** Pause between attempts to enter this instance in the store. */
constexpr absl::Duration kRegistrationPause = absl::Seconds(1);
constexpr absl::Duration kRegistrationTime = absl::Milliseconds(900);

} // namespace

class StoreFollower::ConfigEvents final : public KindEvents
{
public:
    ConfigEvents(GatewayContext &context, StoreRelay &relay)
        : context(context)
        , relay(relay)
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
    void onCacheChanged() override { this->relay.onChanged(std::string(platform::kConfigKind)); }

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

    GatewayContext &context;
    StoreRelay &relay;
    std::int64_t revision = -1;
};

class StoreFollower::ServerEvents final : public KindEvents
{
public:
    ServerEvents(GatewayContext &context, StoreRelay &relay, bool &isListed)
        : context(context)
        , relay(relay)
        , isListed(isListed)
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
        this->isListed = true;
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
    void onConfirmed(absl::Time) override { }
    void onCacheChanged() override { this->relay.onChanged(std::string(platform::kServerKind)); }

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

    GatewayContext &context;
    StoreRelay &relay;
    bool &isListed;
};

class StoreFollower::EvacuationEvents final : public KindEvents
{
public:
    EvacuationEvents(GatewayContext &context, StoreRelay &relay)
        : context(context)
        , relay(relay)
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
    void onConfirmed(absl::Time) override { }
    void onCacheChanged() override
    {
        this->relay.onChanged(std::string(platform::kEvacuationKind));
    }

private:
    GatewayContext &context;
    StoreRelay &relay;
};

class StoreFollower::InstanceEvents final : public KindEvents
{
public:
    InstanceEvents(GatewayContext &context, StoreRelay &relay)
        : context(context)
        , relay(relay)
    { }

    void onObjects(const std::vector<StoredObject> &objects, bool, absl::Time) override
    {
        for (const StoredObject &object : objects)
            this->adopt(object);
    }
    void onChange(const ObjectChange &change, bool, absl::Time) override
    {
        if (!change.isDeleted) {
            this->adopt(change.object);
            return;
        }
        this->context.exchange.removePeer(InstanceId(change.object.name));
        this->context.storeSource.removePeer(InstanceId(change.object.name));
    }
    void onConfirmed(absl::Time) override { }
    void onCacheChanged() override { this->relay.onChanged(std::string(platform::kInstanceKind)); }

private:
    void adopt(const StoredObject &object)
    {
        const Result<platform::InstanceEntry> entry = platform::decodeInstance(object);
        if (!entry.ok()) {
            logEvent(LogLevel::Warning, "instance_entry_unreadable", {{"name", object.name}});
            return;
        }
        this->context.exchange.setPeer(entry->id, entry->address);
        this->context.storeSource.setPeer(entry->id, entry->domain, entry->relayAddress);
    }

    GatewayContext &context;
    StoreRelay &relay;
};

/** Enters this instance in the store, once; an entry of an earlier life stays as it is. */
class StoreFollower::Registration final : private OutboundEvents, private IdleEvents
{
public:
    explicit Registration(GatewayContext &context)
        : context(context)
        , timer(context.base, [this] { this->send(); })
    { }

    void send()
    {
        const GatewaySettings &settings = this->context.settings;
        IdleEvents &idleEvents = *this;
        this->connection = std::make_unique<OutboundConnection>(this->context.base,
                                                                settings.storeAddress, idleEvents);
        const std::string body = platform::encodeInstance(
            {settings.id, settings.domain, settings.peerAddress, settings.relayAddress});
        this->connection->call(
            absl::StrCat("POST ", platform::listTarget(platform::kInstanceKind, {}),
                         " HTTP/1.1\r\nHost: ", settings.storeAddress,
                         "\r\nContent-Type: application/json\r\nContent-Length: ", body.size(),
                         "\r\n\r\n", body),
            false, {}, *this);
        this->timer.start(kRegistrationTime);
    }

private:
    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        this->status = head.status;
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override
    {
        const bool isEntered = this->status < 300 || this->status == 409;
        logEvent(isEntered ? LogLevel::Info : LogLevel::Warning, "instance_registration",
                 {{"status", this->status}});
        if (isEntered)
            this->timer.stop();
        else
            this->timer.start(kRegistrationPause);
    }
    void onCallFailed(OutboundConnection &, std::error_code error) override
    {
        logEvent(LogLevel::Warning, "instance_registration", {{"error", errorName(error)}});
        this->timer.start(kRegistrationPause);
    }
    void onIdleClosed(OutboundConnection &) override { }

    GatewayContext &context;
    LoopTimer timer;
    std::unique_ptr<OutboundConnection> connection;
    int status = 0;
};

StoreFollower::StoreFollower(GatewayContext &context)
    : context(context)
    , relay(context.base)
    , configEvents(std::make_unique<ConfigEvents>(context, this->relay))
    , serverEvents(std::make_unique<ServerEvents>(context, this->relay, this->serversListed))
    , evacuationEvents(std::make_unique<EvacuationEvents>(context, this->relay))
    , instanceEvents(std::make_unique<InstanceEvents>(context, this->relay))
    , registration(std::make_unique<Registration>(context))
{
    const auto follow = [this](std::string_view kind, const KindWatcher::Timing &timing,
                               KindEvents &events) {
        this->watchers.push_back(std::make_unique<KindWatcher>(
            this->context.base, this->context.storeSource, kind, timing, events));
        this->relay.addKind(std::string(kind), *this->watchers.back());
    };
    follow(platform::kConfigKind, kConfigTiming, *this->configEvents);
    follow(platform::kServerKind, kServerTiming, *this->serverEvents);
    follow(platform::kEvacuationKind, kEvacuationTiming, *this->evacuationEvents);
    follow(platform::kInstanceKind, kInstanceTiming, *this->instanceEvents);
}

StoreFollower::~StoreFollower() = default;

std::error_code StoreFollower::start()
{
    if (const std::error_code error = this->relay.start(this->context.settings.relayAddress))
        return error;
    for (const auto &watcher : this->watchers)
        watcher->start();
    this->registration->send();
    return {};
}

} // namespace foxtailtally
