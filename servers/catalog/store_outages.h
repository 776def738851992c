#pragma once

#include <absl/time/time.h>

namespace foxtailtally {

/**
 * When the store last failed for the objects of one kind. Entries expire while it is unavailable,
 * so what it reports as removed soon afterwards may belong to servers that are alive.
 *
 * A watch that the store cuts off while it waits is no failure: the store may close a connection at
 * any time. In an outage the calls after the cut fail too, and no entry expires before they do.
 */
class StoreOutages
{
public:
    /** Servers whose entries expired register again within this time after the store's recovery. */
    static constexpr absl::Duration kSettleTime = absl::Milliseconds(2500);

    /** How a call to the store ended that got no complete response. */
    struct LostCall
    {
        bool isWatch = false;
        /** The store had accepted the connection, and closed or reset it. */
        bool isClosedByStore = false;
        bool hasResponseBegun = false;
        absl::Time sentAt;
        /** Time for which the watch was to wait for a change. */
        absl::Duration watchTime = absl::ZeroDuration();
    };
    /** The store cut off a watch that was waiting. One whose time is over was due for a response:
     * the store, or this process, may have been unavailable since it was sent. */
    static bool isCutWatch(const LostCall &call, absl::Time now);

    void onFailed(absl::Time now);
    void onWatchCut(absl::Time now);
    /** A response has come, from the store or from another instance. @p anyFailureAt: last failure
     * of a call for any kind; after a cut, calls for another kind may be the only ones that saw the
     * outage. */
    void onAnswered(absl::Time anyFailureAt);

    /** True if the store has not failed within kSettleTime. */
    bool isSettled(absl::Time now) const { return now - this->failedAt > kSettleTime; }
    absl::Time lastFailureAt() const { return this->failedAt; }

private:
    absl::Time failedAt = absl::InfinitePast();
    /** First cut since the last response. */
    absl::Time cutAt = absl::InfiniteFuture();
};

} // namespace foxtailtally
