#pragma once

#include <absl/time/time.h>
#include <array>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** What a backend server counts as a request. */
enum class RequestKind : std::uint8_t {
    /** A caller's call, or a retry of it. */
    Call,
    /** A part of a prompt that the server prefills for another one. */
    PrefillPart,
    /** Reservation, renewal or release of memory. */
    Reservation,
};
inline constexpr std::size_t kRequestKinds = 3;

/** Requests that this instance sent to one server within the last four seconds, by kind. */
class SentRequests
{
public:
    static constexpr absl::Duration kWindow = absl::Seconds(4);

    void add(RequestKind kind, absl::Time now);
    std::int64_t count(RequestKind kind, absl::Time now) const;
    std::int64_t total(absl::Time now) const;

private:
    static constexpr std::size_t kBuckets = 4;

    struct Bucket
    {
        /** Number of the bucket since the epoch. */
        std::int64_t number = -1;
        std::array<std::int64_t, kRequestKinds> counts {};
    };

    std::array<Bucket, kBuckets> buckets;
};

} // namespace foxtailtally
