#pragma once

#include "core/backend_server.h"
#include "core/ids.h"

#include <absl/time/time.h>
#include <cstdint>
#include <string>
#include <system_error>

namespace foxtailtally {

/** Maximum size of an object's value, in bytes. */
constexpr std::size_t kMaxObjectBytes = std::size_t {1} << 20;

/** Version that denotes an absent object. */
constexpr std::uint64_t kAbsentVersion = 0;

/** One object of the platform's store. */
struct StoredObject
{
    std::string key;
    std::uint64_t version = kAbsentVersion;
    std::string value;
};

/** What the client knows about the effect of a write. */
enum class WriteOutcome {
    Committed,
    /** The write had and will have no effect. */
    NotWritten,
    /** The response was lost; the write may have taken effect, or may still do so later. */
    Unknown,
};

struct WriteReply
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    /**
     * No error if committed. NotWritten: StoreConflict, StoreValueTooLarge, RequestMalformed (value
     * not UTF-8), RateLimited, StoreUnavailable, Unauthorized or ConnectionFailed. Unknown:
     * Timeout, ConnectionLost or ProtocolViolation.
     */
    std::error_code error;
    /** New version if committed; current version with StoreConflict. */
    std::uint64_t version = kAbsentVersion;
    /** Value of Retry-After; zero if the platform sent none. */
    absl::Duration retryAfter;
};

enum class InstanceKind {
    Entry,
    Engine,
    Service,
};

/** One entry of the platform's instance list, which lags behind the actual state. */
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
    /** Engines and services only: whether stale fences are rejected. */
    bool checksFence = false;
    /** Services only: name of the service. */
    std::string service;

    /** Converts the entry of an engine to the type that routing and admission use. */
    BackendServer backendServer() const;
};

} // namespace foxtailtally
