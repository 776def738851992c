#pragma once

#include "core/backend_server.h"
#include "core/ids.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <system_error>

namespace foxtailtally {

/** Largest value of an object, in bytes. */
constexpr std::size_t kMaxObjectBytes = std::size_t {1} << 20;

/** Version that stands for an absent object. */
constexpr std::uint64_t kAbsentVersion = 0;

/** One object of the platform's store. */
struct StoredObject
{
    std::string key;
    std::uint64_t version = kAbsentVersion;
    std::string value;
};

/** What is known of the effect of a write. */
enum class WriteOutcome {
    Committed,
    /** The write had and will have no effect. */
    NotWritten,
    /** The answer was lost; the write may have taken effect, now or later. */
    Unknown,
};

struct WriteReply
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /**
     * Zero when committed. NotWritten: StoreConflict, StoreValueTooLarge, RequestMalformed (value
     * not UTF-8), RateLimited, StoreUnavailable, Unauthorized or ConnectionFailed. Unknown:
     * Timeout, ConnectionLost or ProtocolViolation.
     */
    std::error_code error;
    /** New version when committed; current version with StoreConflict. */
    std::uint64_t version = kAbsentVersion;
    /** Time to wait before another try, as far as the platform named one. */
    absl::Duration retryAfter;
};

enum class InstanceKind {
    Entry,
    Engine,
    Service,
};

/** One entry of the platform's list of instances. The list lags. */
struct InstanceEntry
{
    std::string id;
    InstanceKind kind = InstanceKind::Entry;
    FailureDomainId domain;
    /** "ip:port" of the HTTP interface. */
    std::string address;
    bool isLeaving = false;
    Incarnation incarnation = 0;
    /** Engines only. */
    GroupId group;
    ModelId model;
    std::int64_t memoryTokens = 0;
    std::int64_t coldLimit = 1;
    std::int64_t warmLimit = 32;
    /** Engines and services: stale fences are rejected. */
    bool checksFence = false;
    /** Services only: name of the service. */
    std::string service;

    /** Entry of an engine as decision code takes it. */
    BackendServer backendServer() const;
};

} // namespace foxtailtally
