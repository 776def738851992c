#pragma once

#include "core/request.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/**
 * Fingerprints that the owner of a group takes for suspects: those that ran on a server when it was
 * lost, and those that other instances report. The owner learns of a lost server before reports
 * arrive, and must by then keep the requests of that server apart. Only reports quarantine a
 * fingerprint, since a lost connection to a server is not its death.
 *
 * The table is bounded; the entry that expires first is dropped.
 */
class SuspectTable
{
public:
    /** The request ran on a server that was lost. */
    void onServerLost(const Fingerprint &fingerprint, absl::Time now);
    /** @p deaths server deaths with the request are known. */
    void onReport(const Fingerprint &fingerprint, std::uint32_t deaths, absl::Time now);
    /** The request ran to its end, so that it is none that kills servers. */
    void onFinished(const Fingerprint &fingerprint);

    /** Deaths to be assumed for a request, at least those its entry instance knows. */
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
