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
 * Tells the instances that follow this one what it knows of the store, in the store's own form: a
 * list, or a watch that is answered with the next change or when its time is over. Each answer says
 * how long ago its content was known to be the newest.
 */
class StoreRelay final : private InboundEvents
{
public:
    explicit StoreRelay(event_base *base);

    /** @p watcher is told of and outlives the relay. */
    void addKind(const std::string &kind, const KindWatcher &watcher);
    std::error_code start(const std::string &address) { return this->server.start(address); }
    /** Something of @p kind has changed: answers the watches that wait for it. */
    void onChanged(const std::string &kind);
    /** Destroys closed connections; not from inside an event. */
    void onTick() { this->server.onTick(); }

private:
    struct PendingRequest
    {
        InboundConnection *connection = nullptr;
        std::string kind;
        /** Revision from which changes are watched; absent for a list. */
        std::optional<std::int64_t> watchFrom;
        absl::Time until;
    };

    /** An answer as it is sent, for the followers that ask for the same. */
    struct EncodedAnswer
    {
        /** Revision from which changes are told; absent for a list. */
        std::optional<std::int64_t> from;
        std::int64_t to = -1;
        std::string body;
        bool isDeflated = false;
    };
    /** Answers that are kept for each kind, the latest last. */
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
    /** Answers the requests that wait and for which @p isDue holds. */
    void answerDue(const std::function<bool(const PendingRequest &)> &isDue, absl::Time now);
    void answerRequest(const PendingRequest &request, absl::Time now);
    /** The answer to @p waiting from @p cache; nothing when it no longer has the changes. */
    const EncodedAnswer *encodedAnswer(const PendingRequest &request, const KindCache &cache);
    void removePending(InboundConnection &connection);

    LoopTimer timer;
    absl::flat_hash_map<std::string, const KindWatcher *> kinds;
    absl::flat_hash_map<std::string, std::deque<EncodedAnswer>> encodedAnswers;
    std::vector<PendingRequest> pendingRequests;
    InboundServer server;
};

} // namespace foxtailtally
