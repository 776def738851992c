#pragma once

#include "core/ids.h"
#include "core/request.h"

#include <absl/time/time.h>
#include <compare>
#include <cstdint>

namespace foxtailtally {

/** Names a death: the request, and a hash of the server's life. */
struct CrashKey
{
    Fingerprint fingerprint {};
    std::uint64_t incarnationHash = 0;

    auto operator<=>(const CrashKey &) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const CrashKey &) const = default;
};

/** One death of a backend server while a request with this fingerprint ran on it. */
struct CrashReport
{
    Fingerprint fingerprint {};
    BackendServerId server;
    Incarnation incarnation = 0;
    /** Time of the death, by the clock of the instance that saw it. */
    absl::Time diedAt;
};

/** A request was served; it does not crash the servers that run it. */
struct ServedReport
{
    Fingerprint fingerprint {};
    /** By the clock of the instance that served it. */
    absl::Time servedAt;
};

/** Hash of one life of a server. */
std::uint64_t incarnationHash(const BackendServerId &server, Incarnation incarnation);

CrashKey crashKey(const CrashReport &report);

} // namespace foxtailtally
