#pragma once

#include "main/gateway/kind_cache.h"
#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"
#include "platform/store_objects.h"
#include "servers/catalog/store_source.h"

#include <absl/time/time.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** What a KindWatcher learns of one kind of object in the store. */
class KindEvents
{
public:
    virtual ~KindEvents() = default;
    /** The complete list. @p storeUnsettled: the store could not be reached lately. */
    virtual void onObjects(const std::vector<platform::StoredObject> &objects, bool storeUnsettled,
                           absl::Time now) = 0;
    virtual void onChange(const platform::ObjectChange &change, bool storeUnsettled,
                          absl::Time now) = 0;
    /** All changes up to @p moment have been told. */
    virtual void onConfirmed(absl::Time moment) = 0;
    /** Called after the events above: what the watcher's cache holds has changed. */
    virtual void onCacheChanged() = 0;
};

/**
 * Follows one kind of object in the store: lists it, then watches for changes, over one connection
 * to the store or to an instance that watches it.
 * A watch is asked for a short time only, because a connection may go silent without a reset and
 * because its answer confirms that what is known is still the newest.
 */
class KindWatcher final : private OutboundEvents, private IdleEvents
{
public:
    struct Timing
    {
        /** Time for which a watch at the store may wait. */
        absl::Duration watch;
        /** The same at another instance; short for what must be noticed soon, as one that falls
         * silent must be. */
        absl::Duration relayWatch;
        /** Pause after changes, so that many that come together cost one call. */
        absl::Duration gather;
        /** Age up to which another instance's knowledge will do; what is older comes from an
         * instance that has lost the store. */
        absl::Duration oldest;
    };

    KindWatcher(event_base *base, StoreSource &source, std::string_view kind, const Timing &timing,
                KindEvents &events);

    void start();
    /** True when nothing failed since kSettleTime, here or at the instance that is followed. */
    bool isSettled(absl::Time now) const;
    const KindCache &cache() const { return this->known; }

private:
    enum class Phase { Listing, Watching, Waiting };

    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;
    void onIdleClosed(OutboundConnection &connection) override;

    void list(std::string_view after);
    void watch();
    void send(const StoreSource::Choice &choice, const std::string &target, absl::Duration limit);
    void onPage(absl::Time now);
    void onChanges(absl::Time now);
    void onFailure(std::string_view cause, bool mustList);
    void noteProgress();
    void onTimer();

    event_base *base;
    StoreSource &source;
    std::string kind;
    Timing timing;
    KindEvents &events;
    LoopTimer timer;
    std::unique_ptr<OutboundConnection> connection;
    std::unique_ptr<OutboundConnection> retired;
    KindCache known;
    StoreSource::Choice asked;
    platform::RelayNote note;
    absl::Duration watchAsked = absl::ZeroDuration();
    Phase phase = Phase::Waiting;
    bool mustList = true;
    int status = 0;
    std::string body;
    std::vector<platform::StoredObject> listed;
    std::int64_t revision = 0;
    absl::Time sentAt = absl::InfinitePast();
    absl::Time listStartedAt = absl::InfinitePast();
    absl::Time lastFailureAt = absl::InfinitePast();
    int failures = 0;
};

} // namespace foxtailtally
