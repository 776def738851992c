#pragma once

#include "core/ids.h"
#include "core/request.h"

#include <absl/time/time.h>
#include <compare>
#include <cstdint>

namespace foxtailtally {

/** Identifies a crash: the request, and a hash of the server and its incarnation. */
struct CrashKey
{
    Fingerprint fingerprint {};
    std::uint64_t incarnationHash = 0;

    auto operator<=>(const CrashKey &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const CrashKey &) const = default;
};

/** Death of a backend server while a request with this fingerprint was running on it. */
struct CrashReport
{
    Fingerprint fingerprint {};
    BackendServerId server;
    Incarnation incarnation = 0;
    /** Time of the death, by the clock of the instance that saw it. */
    absl::Time diedAt;
};

/** A request was served, so it does not crash the servers that run it. */
struct ServedReport
{
    Fingerprint fingerprint {};
    /** By the clock of the instance that served it. */
    absl::Time servedAt;
};

/** Hash of a server and its incarnation. */
std::uint64_t incarnationHash(const BackendServerId &server, Incarnation incarnation);

CrashKey crashKey(const CrashReport &report);

} // namespace foxtailtally
