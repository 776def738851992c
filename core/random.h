#pragma once

#include <cstdint>

namespace foxtailtally {

/**
 * Small seeded generator (SplitMix64). Code that makes decisions draws only from a generator that
 * is passed in, so that a run with the same seed makes the same decisions on every platform.
 */
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : state(seed)
    { }

    std::uint64_t next()
    {
        this->state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = this->state;
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31);
    }

    /** Uniform in [0, bound); zero when @p bound is zero. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : this->next() % bound; }

    /** Uniform in [0, 1). */
    double uniform() { return static_cast<double>(this->next() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state;
};

} // namespace foxtailtally
