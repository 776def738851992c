#pragma once

#include "core/ids.h"
#include "core/request.h"

#include <absl/time/time.h>
#include <compare>
#include <cstdint>
#include <vector>

namespace foxtailtally {

/** Time for which a call that was served is trusted not to crash servers. It is limited because the
 * servers may be replaced later by others that the call does crash. */
inline constexpr absl::Duration kServedRetention = absl::Minutes(1);

/** Time for which a death counts, and for which a quarantined request is refused. Long enough to
 * stop a caller that retries every few minutes, short enough to allow a retry after the servers
 * have been repaired. */
constexpr absl::Duration kQuarantineDuration = absl::Hours(1);

/** Identifies a crash: what was running, and a hash of the server and its incarnation. */
struct CrashKey
{
    Fingerprint fingerprint {};
    std::uint64_t incarnationHash = 0;

    auto operator<=>(const CrashKey &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const CrashKey &) const = default;
};

/** Death of a backend server while it was running a request with this fingerprint, or with a part
 * of a prompt that has it. */
struct CrashReport
{
    Fingerprint fingerprint {};
    BackendServerId server;
    Incarnation incarnation = 0;
    /** Time of the death, by the clock of the instance that saw it. */
    absl::Time diedAt;
    /** Deaths from this time to diedAt count as one, since they may have another common cause. */
    absl::Time causeSince = absl::InfiniteFuture();
    /** The server was running a trial: see Quarantine. */
    bool wasTrial = false;
};

/** A request, or one with a part of a prompt, was served, so it does not crash the servers that run
 * it. */
struct ServedReport
{
    Fingerprint fingerprint {};
    /** By the clock of the instance that served it. */
    absl::Time servedAt;
    /** Later deaths within this time do not count either. Zero for a part of a prompt: it is served
     * so often that every death would be excused. */
    absl::Duration trustedFor = kServedRetention;
};

/** Fingerprints of what may have caused the crash of a server that was running a call. */
struct CallFingerprints
{
    /** Digest of the customer, path and body. */
    Fingerprint call {};
    /** Parts of the prompt that other calls may share. */
    std::vector<Fingerprint> parts;
};

/** Hash of a server and its incarnation. */
std::uint64_t incarnationHash(const BackendServerId &server, Incarnation incarnation);

CrashKey crashKey(const CrashReport &report);

} // namespace foxtailtally
