#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** Bounded set of recently served calls, identified by a hash of their content. */
class ServedCallCache
{
public:
    /** A call is remembered for at least @p retention and at most twice as long, unless more than
     * @p capacity other calls are added within @p retention. */
    ServedCallCache(absl::Duration retention, std::size_t capacity)
        : retention(retention)
        , capacity(capacity)
    { }

    void add(std::uint64_t call, absl::Time now);
    bool contains(std::uint64_t call, absl::Time now) const;
    std::size_t size() const { return this->current.size() + this->previous.size(); }

private:
    absl::Duration retention;
    std::size_t capacity;
    absl::flat_hash_set<std::uint64_t> current;
    absl::flat_hash_set<std::uint64_t> previous;
    absl::Time currentSince = absl::InfinitePast();
};

} // namespace foxtailtally
