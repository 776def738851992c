#pragma once

#include "main/gateway/store_writer.h"
#include "peers/http/loop_timer.h"
#include "servers/quarantine/suspect_report.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

class Quarantine;

/**
 * Keeps in the store what must outlive all instances: deaths under calls that are quarantined or
 * nearly so. Each instance writes those that it saw itself, under a name that stands for the death,
 * so that no write changes what another one has written. It removes its own when they are
 * withdrawn, and whatever has expired when it writes anyway.
 */
class DeathRecorder final : private StoreWriterEvents
{
public:
    DeathRecorder(event_base *base, const std::string &storeAddress);

    /** Name of the object that stands for @p death. */
    static std::string objectName(const DeathKey &death);
    /** Nothing when @p name is no such name. */
    static std::optional<DeathKey> parseObjectName(std::string_view name);

    /** The store has the object @p name, which counts until @p expiry. */
    void onStored(const std::string &name, absl::Time expiry);
    void onRemoved(const std::string &name);
    /** Writes what is new in @p quarantine, and removes what it no longer holds. @p wallNow: the
     * objects bear it, since clocks of instances have nothing else in common. */
    void onTick(const Quarantine &quarantine, absl::Time now, absl::Time wallNow);

private:
    struct Write
    {
        bool isRemoval = false;
        std::string name;
        /** Empty for a removal. */
        std::string body;
        absl::Time expiry;
    };

    void onStoreAnswer(int status) override;
    void onNoStoreAnswer(std::string_view cause) override;
    bool isKnown(const std::string &name) const;
    void remove(const std::string &name);
    void sendNext();
    void retry();

    StoreWriter writer;
    LoopTimer retryTimer;
    std::deque<Write> pending;
    bool isBusy = false;
    /** What the store holds, with the time until which it counts. */
    absl::btree_map<std::string, absl::Time> stored;
    /** What this instance has written. */
    absl::btree_map<std::string, DeathKey> ownDeaths;
    absl::Duration retryDelay;
};

} // namespace foxtailtally
