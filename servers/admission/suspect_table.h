#pragma once

#include "core/request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/**
 * Fingerprints that the owner of a group treats as suspects: those that ran on a server when it was
 * lost, and those that other instances report. The owner learns of a lost server before such
 * reports arrive, and must keep the requests of that server apart from then on. Only reports can
 * quarantine a fingerprint, since a lost connection to a server does not prove that the server
 * died.
 *
 * The table is bounded; when it is full, the entry that expires first is evicted.
 */
class SuspectTable
{
public:
    /** The request ran on a server that was lost. */
    void onServerLost(const Fingerprint &fingerprint, absl::Time now);
    /** @p deaths is the number of server deaths known for the request. */
    void onReport(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now);
    /** The request completed, so it is no longer a suspect unless it is quarantined. */
    void onFinished(const Fingerprint &fingerprint);

    /** Server deaths attributed to a request; at least those that its entry instance knows. */
    std::uint32_t deathsOf(const RequestProfile &profile, absl::Time now) const;

private:
    struct Suspicion
    {
        std::uint32_t deaths = 0;
        absl::Time expiry;
    };

    void set(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now);

    absl::flat_hash_map<Fingerprint, Suspicion> entries;
};

} // namespace foxtailtally
