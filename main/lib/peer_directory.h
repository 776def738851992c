#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <absl/container/flat_hash_map.h>
#include <span>
#include <string>
#include <vector>

namespace foxtailtally {

/** Another instance, as listed in the settings. */
struct PeerEntry
{
    InstanceId id;
    FailureDomainId domain;
    /** "ip:port" for datagrams and calls. */
    std::string address;
};

/** Addresses of the other instances, from the seeds of the settings. Immutable. */
class PeerDirectory
{
public:
    PeerDirectory() = default;
    explicit PeerDirectory(std::vector<PeerEntry> entries);

    /** Parses texts of the form id@failure_domain@ip:port; Error::SettingsInvalid otherwise. */
    static Result<PeerDirectory> parse(std::span<const std::string> seeds);

    std::span<const PeerEntry> entries() const { return this->list; }
    /** Number of failure domains among the entries and @p own. */
    std::size_t domainCount(const FailureDomainId &own) const;
    /** Null when the instance is unknown. */
    const PeerEntry *find(const InstanceId &id) const;

private:
    std::vector<PeerEntry> list;
    absl::flat_hash_map<InstanceId, std::size_t> index;
};

} // namespace foxtailtally
