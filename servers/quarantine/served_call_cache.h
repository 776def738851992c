#pragma once

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <cstddef>
#include <cstdint>

namespace foxtailtally {

/** Calls that were served lately, by a hash of their content, in bounded memory. */
class ServedCallCache
{
public:
    /** A call is remembered for @p term at least and twice as long at most, unless more than
     * @p capacity others come within the term. */
    ServedCallCache(absl::Duration term, std::size_t capacity)
        : term(term)
        , capacity(capacity)
    { }

    void add(std::uint64_t call, absl::Time now);
    bool contains(std::uint64_t call, absl::Time now) const;
    std::size_t size() const { return this->current.size() + this->previous.size(); }

private:
    absl::Duration term;
    std::size_t capacity;
    absl::flat_hash_set<std::uint64_t> current;
    absl::flat_hash_set<std::uint64_t> previous;
    absl::Time currentSince = absl::InfinitePast();
};

} // namespace foxtailtally
