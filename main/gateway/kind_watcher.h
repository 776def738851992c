#pragma once

#include "main/gateway/kind_cache.h"
#include "peers/http/loop_timer.h"
#include "peers/http/outbound_connection.h"
#include "platform/store_objects.h"
#include "servers/catalog/store_outages.h"
#include "servers/catalog/store_position.h"
#include "servers/catalog/store_source.h"

#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

/** Receives the changes of one kind of object in the store. An implementation may clear the content
 * of objects that it cannot use, which is then neither kept nor relayed. */
class KindEvents
{
public:
    virtual ~KindEvents() = default;
    /** The store came back from an older copy: the list that onObjects() reports next may lack
     * objects and changes that were reported before, and deletions. @p held: position of what was
     * reported last; @p found: position of the list. */
    virtual void onRestored(const StorePosition & /*held*/, const StorePosition & /*found*/,
                            absl::Time /*now*/)
    { }
    /** The complete list. @p storeUnsettled: the store failed within the settle time. */
    virtual void onObjects(std::vector<platform::StoredObject> &objects, bool storeUnsettled,
                           absl::Time now) = 0;
    virtual void onChange(platform::ObjectChange &change, bool storeUnsettled, absl::Time now) = 0;
    /** @p count entries or changes had no readable name and were left out. */
    virtual void onUnnamed(std::size_t count) = 0;
    /** All changes up to @p moment have been reported, and isNewest() holds. */
    virtual void onConfirmed(absl::Time moment) = 0;
    /** False while the store shows an older state than the one that is kept; what is kept is not
     * confirmed to be the newest then. */
    virtual bool isNewest() const { return true; }
    /** Version that the objects carry themselves; 0 for kinds without one. */
    virtual std::int64_t version() const { return 0; }
    /** Number of objects that are kept although the last list lacked them or held older ones. */
    virtual std::size_t retainedObjects() const { return 0; }
    /** A response has shown a later era of the store than was known: all kinds must be listed. */
    virtual void onLaterEra() { }
    /** Called after the events above when the watcher's cache has changed. */
    virtual void onCacheChanged() = 0;
};

/**
 * Keeps a local copy of one kind of object in step with the store. StoreSource decides whether to
 * list and watch at the store, or to fetch from another instance that is ahead.
 * Watches are short, because a connection may stall without a reset and because each response
 * confirms that the copy is still current.
 */
class KindWatcher final : private OutboundEvents, private IdleEvents
{
public:
    struct Timing
    {
        /** Delay after changes, so that a burst of changes costs one call. */
        absl::Duration batchDelay;
        /** A list may be some seconds old; such a list costs a tenth of a current one. */
        bool allowsStaleList = false;
    };

    /** @p maxKeptBytes: memory for the changes that are kept for other instances. */
    KindWatcher(event_base *base, const std::string &storeAddress, StoreSource &source,
                StoreKind kind, std::string_view kindName, const Timing &timing,
                std::size_t maxKeptBytes, KindEvents &events);

    void start();
    /** Another instance has announced which revisions it holds. */
    void onPeerUpdate();
    /** True if the store has not failed within StoreOutages::kSettleTime, neither for this instance
     * nor for the one from which changes were fetched. */
    bool isSettled(absl::Time now) const;
    /** Last store failure that isSettled() takes into account. */
    absl::Time lastStoreFailureAt() const { return this->outages.lastFailureAt(); }
    const KindCache &cache() const { return this->objectCache; }
    std::string_view name() const { return this->kindName; }

private:
    enum class Phase { Idle, Listing, Watching, Fetching };

    void onResponseHead(OutboundConnection &connection, const ResponseHead &head) override;
    void onResponseBody(OutboundConnection &connection, std::string_view data) override;
    void onResponseComplete(OutboundConnection &connection) override;
    void onCallFailed(OutboundConnection &connection, std::error_code error) override;
    void onIdleClosed(OutboundConnection &connection) override;

    /** Starts the next call if one is due and none is in flight. */
    void startNextCall();
    void becomeIdleFor(absl::Duration pause);
    void list(const std::string &address, std::string_view after);
    void watch(const std::string &address, absl::Duration wait);
    void send(const std::string &address, const std::string &target, absl::Duration timeout);
    /** True while a call waits for changes of an earlier era, or for the store although another
     * instance holds a newer version. */
    bool isWaitingInVain(absl::Time now) const;
    /** What is held is of an earlier era than the store's. */
    bool isOutdated() const { return this->position.era < this->source.era(); }
    /** The response is of an earlier era; it is neither used nor taken for a confirmation. */
    void onOutdatedResponse(absl::Time now);
    /** The response is of a later era than the call. */
    void onLaterEra();
    /** The store, or an instance, no longer has the changes since the known revision. */
    void onHistoryGone(absl::Time now);
    void onPage(absl::Time now);
    void onChanges(absl::Time now);
    /** A response to a watch has become longer than can be kept: the same watch would get a longer
     * one, a list has the newest versions only. */
    void onLongAnswer();
    /** A response with changes has begun. If it fails, the same request may fail for its size. */
    bool hasBegunChanges() const;
    void onFailure(std::string_view cause, bool mustList);
    void onWatchCut(absl::Time now);
    void restartAnswerTimeout();
    /** Gives up a call to the store that is overdue when another instance is ahead. */
    void shortenAnswerTimeout(absl::Time now);
    void confirm(absl::Time moment);
    void reportState();
    void onTimer();
    bool isSourceStore() const { return this->sourceAddress == this->storeAddress; }

    event_base *base;
    std::string storeAddress;
    StoreSource &source;
    StoreKind kind;
    std::string kindName;
    Timing timing;
    KindEvents &events;
    LoopTimer timer;
    std::unique_ptr<OutboundConnection> connection;
    std::unique_ptr<OutboundConnection> retiredConnection;
    KindCache objectCache;
    std::string sourceAddress;
    platform::RelayFreshness relayFreshness;
    /** Era of the response; empty if its header cannot be decoded. */
    std::optional<std::int64_t> responseEra;
    bool isDeflated = false;
    absl::Duration watchTime = absl::ZeroDuration();
    Phase phase = Phase::Idle;
    bool hasStarted = false;
    bool mustList = true;
    int status = 0;
    std::string body;
    std::vector<platform::StoredObject> listedSoFar;
    /** Name after which the page in flight begins; empty for the first page. */
    std::string listedAfter;
    /** Position of the first page of the list in progress. */
    StorePosition listPosition;
    /** Position from which the next watch continues. */
    StorePosition position;
    absl::Time sentAt = absl::InfinitePast();
    absl::Time listStartedAt = absl::InfinitePast();
    StoreOutages outages;
    absl::Time historyGoneAt = absl::InfinitePast();
    /** No call is started before this time. */
    absl::Time pausedUntil = absl::InfinitePast();
    int consecutiveFailures = 0;
};

} // namespace foxtailtally
