#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace foxtailtally {

struct HedgeOptions
{
    /** Share of the requests of a service that may get a second copy. Zero: no limit other than the
     * retry budget, and delays that do not depend on recent responses. */
    double extraShare = 0.0;
    /** A request gets a copy when its response is later than this quantile of recent ones. */
    double quantile = 0.95;
};

/** Slots of the servers of a service that may get work. */
struct ServiceRoom
{
    std::int64_t usedSlots = 0;
    std::int64_t slots = 0;
};

/**
 * Decides when a request that may be repeated is sent to a second server because its response is
 * late. The limit holds for each instance, and thus for all of them, without coordination.
 */
class HedgePolicy
{
public:
    /** Recent responses of a service that are kept, and that are needed for a delay. */
    static constexpr std::size_t kSamples = 128;
    static constexpr std::size_t kMinSamples = 20;
    /** The limit holds in each window of this length before a copy. An instance with so few
     * requests that its share is below one copy sends one when its requests have earned it. */
    static constexpr absl::Duration kWindow = absl::Seconds(10);
    /** Part of the slots in use above which a copy would take the place of another request. */
    static constexpr double kMaxUsedShare = 0.7;

    explicit HedgePolicy(const HedgeOptions &options)
        : options(options)
    { }

    bool isLimited() const { return this->options.extraShare > 0.0; }
    /** A request for @p service has arrived. */
    void onRequest(const std::string &service, absl::Time now);
    /** A response came after @p time; for streams, the first event came so much later than
     * predicted. */
    void onResponse(const std::string &service, absl::Duration time);
    /** No response had come after @p time, when the request was cancelled. */
    void onNoResponse(const std::string &service, absl::Duration time);
    /** Time after which a copy is due; nothing while too few responses are known. */
    std::optional<absl::Duration> delay(const std::string &service) const;
    /** A copy is within the limit, and the service has room for it. */
    bool mayCopy(const std::string &service, const ServiceRoom &room, absl::Time now) const;
    /** A copy is sent. */
    void onCopy(const std::string &service, absl::Time now);

private:
    /** What happened in a second. */
    struct Bucket
    {
        absl::Time start;
        std::int64_t requests = 0;
        std::int64_t copies = 0;
    };
    struct State
    {
        /** Ring of the last response times. */
        std::vector<absl::Duration> times;
        std::size_t next = 0;
        /** Part of a copy that the requests since the last one have earned, at most one. */
        double earned = 0.0;
        /** Of the last kWindow. */
        std::deque<Bucket> buckets;
    };

    static Bucket &currentBucket(State &state, absl::Time now);

    HedgeOptions options;
    absl::flat_hash_map<std::string, State> services;
};

} // namespace foxtailtally
