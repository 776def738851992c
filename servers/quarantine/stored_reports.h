#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <string>
#include <vector>

namespace foxtailtally {

/**
 * Names of the crash reports that the store holds. A report that is no longer there was removed by
 * an operator or by the instance that wrote it, unless the store was restored from an older copy:
 * such a store has lost it.
 */
class StoredReports
{
public:
    /** Time after a restore in which a lost report still counts as stored. The instance that wrote
     * it writes it again at once, and retries at least every 8 s. If that instance has ended, an
     * operator must be able to lift the quarantine by removing what the store has. */
    static constexpr absl::Duration kLostGrace = absl::Seconds(10);

    /** The complete list. Returns the names that were removed. */
    std::vector<std::string> onList(const absl::btree_set<std::string> &listed, absl::Time now);
    void onStored(const std::string &name);
    void onRemoved(const std::string &name);
    /** The store came back from an older copy; its list follows. */
    void onRestored() { this->isRestoredListDue = true; }
    /** Forgets lost reports after kLostGrace. */
    void onTick(absl::Time now);

    /** Names in the store, and of reports that it has lost lately and that nobody has written
     * again. */
    absl::btree_set<std::string> names() const;
    std::size_t lostCount() const { return this->lost.size(); }

private:
    absl::btree_set<std::string> stored;
    /** With the time until which they count as stored. */
    absl::btree_map<std::string, absl::Time> lost;
    /** The next list is the first one after a restore. */
    bool isRestoredListDue = false;
};

} // namespace foxtailtally
