#include "standins/lib/instance_list.h"

namespace foxtailtally {

namespace {

/** Maximum lag; older states are dropped. */
constexpr absl::Duration kMaxLag = absl::Minutes(5);

} // namespace

InstanceList::InstanceList(absl::Duration lag)
    : lag(lag)
    , states {{absl::InfinitePast(), {}}}
{ }

InstanceList::Entries &InstanceList::addState(absl::Time now)
{
    State next {now, this->states.back().entries};
    this->states.push_back(std::move(next));
    while (this->states.size() > 1 && this->states[1].since <= now - kMaxLag) {
        this->states.pop_front();
    }
    return this->states.back().entries;
}

void InstanceList::put(const InstanceEntry &entry, absl::Time now)
{
    this->addState(now)[entry.id] = std::make_shared<const InstanceEntry>(entry);
}

bool InstanceList::remove(std::string_view id, absl::Time now)
{
    return this->addState(now).erase(std::string(id)) > 0;
}

bool InstanceList::setLeaving(std::string_view id, bool leaving, absl::Time now)
{
    const Entries &entries = this->states.back().entries;
    const auto found = entries.find(std::string(id));
    if (found == entries.end()) {
        return false;
    }
    InstanceEntry entry = *found->second;
    entry.isLeaving = leaving;
    this->put(entry, now);
    return true;
}

std::vector<InstanceEntry> InstanceList::visible(absl::Time now)
{
    const State *seen = &this->states.front();
    for (const State &state : this->states) {
        if (state.since <= now - this->lag) {
            seen = &state;
        }
    }
    std::vector<InstanceEntry> entries;
    entries.reserve(seen->entries.size());
    for (const auto &[id, entry] : seen->entries) {
        entries.push_back(*entry);
    }
    return entries;
}

} // namespace foxtailtally
