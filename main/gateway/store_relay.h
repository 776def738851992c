#pragma once

#include "main/gateway/inbound_server.h"
#include "main/gateway/kind_cache.h"
#include "main/gateway/kind_watcher.h"
#include "peers/http/loop_timer.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

struct event_base;

namespace foxtailtally {

/**
 * Serves this instance's copy of the store to the instances that follow it, over the store's own
 * protocol: lists, and watches that are answered with the next change or when their time is over.
 * Each response states the era of its content and how long ago it was known to be current.
 */
class StoreRelay final : private InboundEvents
{
public:
    explicit StoreRelay(event_base *base);

    /** Serves @p kind from @p watcher, which must outlive the relay. */
    void addKind(const std::string &kind, const KindWatcher &watcher);
    std::error_code start(const std::string &address) { return this->server.start(address); }
    /** Objects of @p kind have changed: answers the requests that wait for them. */
    void onChanged(const std::string &kind);
    /** Destroys closed connections; must not be called from an event callback. */
    void onTick() { this->server.onTick(); }

private:
    struct PendingRequest
    {
        InboundConnection *connection = nullptr;
        std::string kind;
        /** Position from which changes are watched; absent for a list. */
        std::optional<StorePosition> watchFrom;
        absl::Time until;
    };

    /** Encoded response, kept for other instances that ask for the same. */
    struct EncodedAnswer
    {
        /** Position after which the response lists changes; absent for a list. */
        std::optional<StorePosition> from;
        StorePosition to;
        std::string body;
        bool isDeflated = false;
    };
    /** Encoded responses that are kept for each kind, the latest last. */
    static constexpr std::size_t kMaxKeptAnswers = 4;

    void onRequestHead(InboundConnection &connection) override;
    void onRequestComplete(InboundConnection &connection) override;
    void onCallerGone(InboundConnection &connection) override;
    void onWritable(InboundConnection &connection) override;
    void onRequestRejected(InboundConnection &connection, int status) override;
    void onClosed(InboundConnection &connection) override;

    void onTimer();
    void startTimer(absl::Time now);
    bool canAnswer(const PendingRequest &request, const KindCache &cache) const;
    /** Answers the pending requests for which @p isDue holds. */
    void answerDue(const std::function<bool(const PendingRequest &)> &isDue, absl::Time now);
    void answerRequest(const PendingRequest &request, absl::Time now);
    /** Response to @p request from @p cache; null if the cache no longer has the changes. */
    const EncodedAnswer *encodedAnswer(const PendingRequest &request, const KindCache &cache);
    void removePending(InboundConnection &connection);

    LoopTimer timer;
    absl::flat_hash_map<std::string, const KindWatcher *> kinds;
    absl::flat_hash_map<std::string, std::deque<EncodedAnswer>> encodedAnswers;
    std::vector<PendingRequest> pendingRequests;
    InboundServer server;
};

} // namespace foxtailtally
