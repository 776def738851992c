#include "servers/quarantine/stored_reports.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace foxtailtally {

std::vector<std::string> StoredReports::onList(const absl::btree_set<std::string> &listed,
                                               absl::Time now)
{
    std::vector<std::string> missing;
    std::set_difference(this->stored.begin(), this->stored.end(), listed.begin(), listed.end(),
                        std::back_inserter(missing));
    this->stored = listed;
    for (const std::string &name : listed)
        this->lost.erase(name);
    if (!std::exchange(this->isRestoredListDue, false))
        return missing;
    for (const std::string &name : missing)
        this->lost[name] = now + kLostGrace;
    return {};
}

void StoredReports::onStored(const std::string &name)
{
    this->stored.insert(name);
    this->lost.erase(name);
}

void StoredReports::onRemoved(const std::string &name)
{
    this->stored.erase(name);
    this->lost.erase(name);
}

void StoredReports::onTick(absl::Time now)
{
    absl::erase_if(this->lost, [now](const auto &item) { return item.second <= now; });
}

absl::btree_set<std::string> StoredReports::names() const
{
    absl::btree_set<std::string> all = this->stored;
    for (const auto &[name, until] : this->lost)
        all.insert(name);
    return all;
}

} // namespace foxtailtally
