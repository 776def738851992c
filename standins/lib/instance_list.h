#pragma once

#include "peers/platform/platform_types.h"

#include <absl/container/btree_map.h>
#include <absl/time/time.h>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** The platform's instance list, which readers see with a lag. */
class InstanceList
{
public:
    explicit InstanceList(absl::Duration lag);

    void setLag(absl::Duration newLag) { this->lag = newLag; }
    void put(const InstanceEntry &entry, absl::Time now);
    bool remove(std::string_view id, absl::Time now);
    bool setLeaving(std::string_view id, bool leaving, absl::Time now);
    /** Entries as they were one lag before @p now, ordered by id. */
    std::vector<InstanceEntry> visible(absl::Time now);

private:
    using Entries = absl::btree_map<std::string, std::shared_ptr<const InstanceEntry>>;
    struct State
    {
        absl::Time since;
        Entries entries;
    };

    /** Appends a copy of the current state, valid from @p now, and returns its entries. */
    Entries &addState(absl::Time now);

    absl::Duration lag;
    /** States in time order; the last one is current. */
    std::deque<State> states;
};

} // namespace foxtailtally
