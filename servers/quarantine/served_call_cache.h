#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace foxtailtally {

/** Bounded set of recently served calls, or parts of prompts, identified by a hash of their
 * content.
 */
class ServedCallCache
{
public:
    /** A call is remembered for at least @p retention and at most twice as long, unless more than
     * @p capacity other calls are added within @p retention. */
    ServedCallCache(absl::Duration retention, std::size_t capacity)
        : retention(retention)
        , capacity(capacity)
    { }

    void add(std::uint64_t call, absl::Time now) { this->add(call, now, now); }
    void add(std::uint64_t call, absl::Time servedAt, absl::Time now);
    bool contains(std::uint64_t call, absl::Time now) const;
    /** The latest time at which the call was served; none if it is not remembered. */
    std::optional<absl::Time> servedAt(std::uint64_t call, absl::Time now) const;
    std::size_t size() const { return this->current.size() + this->previous.size(); }

private:
    absl::Duration retention;
    std::size_t capacity;
    /** Time at which each call was served last. */
    absl::flat_hash_map<std::uint64_t, absl::Time> current;
    absl::flat_hash_map<std::uint64_t, absl::Time> previous;
    absl::Time currentSince = absl::InfinitePast();
};

} // namespace foxtailtally
