#include "main/lib/peer_directory.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_split.h>
#include <utility>

namespace foxtailtally {

PeerDirectory::PeerDirectory(std::vector<PeerEntry> entries)
    : list(std::move(entries))
{
    for (std::size_t i = 0; i < this->list.size(); ++i)
        this->index[this->list[i].id] = i;
}

Result<PeerDirectory> PeerDirectory::parse(std::span<const std::string> seeds)
{
    std::vector<PeerEntry> entries;
    for (const std::string &seed : seeds) {
        const std::vector<std::string> parts = absl::StrSplit(seed, '@');
        if (parts.size() != 3 || parts[0].empty() || parts[1].empty() || parts[2].empty())
            return Error::SettingsInvalid;
        entries.push_back({InstanceId(parts[0]), FailureDomainId(parts[1]), parts[2]});
    }
    return PeerDirectory(std::move(entries));
}

std::size_t PeerDirectory::domainCount(const FailureDomainId &own) const
{
    absl::flat_hash_set<FailureDomainId> domains {own};
    for (const PeerEntry &entry : this->list)
        domains.insert(entry.domain);
    return domains.size();
}

const PeerEntry *PeerDirectory::find(const InstanceId &id) const
{
    const auto found = this->index.find(id);
    return found == this->index.end() ? nullptr : &this->list[found->second];
}

} // namespace foxtailtally
