#pragma once

#include "main/gateway/store_writer.h"
#include "peers/http/loop_timer.h"
#include "servers/quarantine/crash_report.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailtally {

class Quarantine;

/**
 * Keeps in the store what must outlive all instances: server deaths under calls that are
 * quarantined or would be with the next death. Each instance writes the deaths that it saw itself.
 * The name of an object identifies the death, so no write overwrites the object of another death.
 * An instance removes its own objects when their deaths are withdrawn, and some expired objects of
 * any instance after each write.
 *
 * A write without an answer may be executed seconds later, also after the store was restored from
 * an older copy. The name of an object is that of one death, so a late removal removes what was
 * withdrawn or has expired. A late creation of an object that was removed since is undone by
 * removeWithdrawn().
 */
class DeathRecorder final : private StoreWriterEvents
{
public:
    DeathRecorder(event_base *base, const std::string &storeAddress);

    /** Name of the stored object for @p death. */
    static std::string objectName(const CrashKey &death);
    /** Inverse of objectName(); nothing if @p name is not such a name. */
    static std::optional<CrashKey> parseObjectName(std::string_view name);

    /** Whether @p name is that of a death of @p fingerprint. */
    static bool isObjectOf(std::string_view name, const Fingerprint &fingerprint);

    /** The store holds the object @p name, which is valid until @p expiry. */
    void onStored(const std::string &name, absl::Time expiry);
    void onRemoved(const std::string &name);
    /** The store came back from an older copy, which holds @p listed. Own deaths that it lacks are
     * written again. */
    void onRestored(const absl::btree_set<std::string> &listed);
    /** Removes the object @p name, whose death was withdrawn, and which is in the store again. */
    void removeWithdrawn(const std::string &name) { this->remove(name); }
    /** Writes new deaths of @p quarantine and removes those that it no longer holds. Objects
     * contain wall-clock times (@p wallNow), the only time that instances share. */
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
    bool isPending(const std::string &name) const;
    void remove(const std::string &name);
    void sendNext();
    void retry();

    StoreWriter writer;
    LoopTimer retryTimer;
    std::deque<Write> pending;
    /** A write is in flight or waits to be retried. */
    bool isBusy = false;
    /** The store was restored after the write in flight was sent, and may have lost it. */
    bool mustRepeat = false;
    /** Objects in the store, with their expiry times. */
    absl::btree_map<std::string, absl::Time> stored;
    /** Deaths that this instance has written or queued. */
    absl::btree_map<std::string, CrashKey> ownDeaths;
    absl::Duration retryDelay;
};

} // namespace foxtailtally
