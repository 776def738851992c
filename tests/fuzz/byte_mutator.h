#pragma once

#include "core/random.h"

#include <cstdint>
#include <span>
#include <string>

namespace foxtailtally {

/** Changes messages at random, with a preference for what decoders tend to get wrong. */
class ByteMutator
{
public:
    explicit ByteMutator(std::uint64_t seed)
        : random(seed)
    { }

    /** One of @p samples with one to eight changes. */
    std::string mutated(std::span<const std::string> samples);

private:
    void change(std::string &bytes, std::span<const std::string> samples);
    /** Replaces a number, or the value of a JSON member. */
    void replaceValue(std::string &bytes);
    std::size_t position(const std::string &bytes)
    {
        return static_cast<std::size_t>(this->random.below(bytes.size() + 1));
    }
    std::size_t length(std::size_t limit)
    {
        return static_cast<std::size_t>(this->random.below(limit + 1));
    }

    Random random;
};

} // namespace foxtailtally
