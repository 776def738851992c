#pragma once

#include "standins/lib/instance_list.h"
#include "standins/lib/object_store.h"
#include "standins/lib/standin.h"
#include "standins/lib/token_bucket.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <memory>
#include <string>
#include <vector>

namespace foxtailtally {

/** Rate limits in calls per second; the burst is the number of calls of one second. */
struct PlatformLimits
{
    double reads = 2000;
    double writes = 300;
    double weights = 20;
};

struct PlatformStandinOptions
{
    ListenOptions listen;
    PlatformLimits limits;
    /** Lag with which readers see the instance list. */
    absl::Duration listLag = absl::Seconds(1);
};

/** Stand-in for the platform: versioned objects, watches, instance list and weight store. */
class PlatformStandin final : public Standin
{
public:
    static Result<std::unique_ptr<PlatformStandin>> start(PlatformStandinOptions options);
    ~PlatformStandin() override;

protected:
    void handle(const std::shared_ptr<StandinCall> &call) override;
    bool applyFault(const std::string &kind, JsonReader &parameters) override;
    nlohmann::json stats() override;
    void onFaultsChanged() override;

private:
    struct Watch
    {
        std::string key;
        std::uint64_t version = 0;
        std::shared_ptr<StandinCall> call;
    };
    struct Counters
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t limited = 0;
    };

    explicit PlatformStandin(PlatformStandinOptions options);

    void handleObject(StandinCall &call, const std::string &key);
    void handleWrite(StandinCall &call, const std::string &key);
    void handleList(StandinCall &call);
    void handleWatch(const std::shared_ptr<StandinCall> &call, const std::string &key);
    void handleInstance(StandinCall &call, const std::string &id);
    void completeWatches(const std::string &key);
    /** Takes a token from @p bucket; responds 429 and returns false if there is none. */
    bool admit(TokenBucket &bucket, StandinCall &call);

    TokenBucket reads;
    TokenBucket writes;
    TokenBucket weights;
    ObjectStore store;
    InstanceList instances;
    std::uint64_t watchCount = 0;
    absl::btree_map<std::uint64_t, Watch> watches;
    Counters counters;
};

} // namespace foxtailtally
