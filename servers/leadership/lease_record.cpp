#include "servers/leadership/lease_record.h"

namespace foxtailtally {

namespace {

constexpr int kRevisionBits = 40;
/** Tokens are integers in JSON, which many readers keep in 53 bits. */
constexpr std::int64_t kMaxEra = (std::int64_t {1} << (53 - kRevisionBits)) - 1;
constexpr std::int64_t kMaxRevision = (std::int64_t {1} << kRevisionBits) - 1;

} // namespace

std::optional<FencingToken> fencingToken(const StorePosition &read)
{
    if (read.era < 0 || read.era > kMaxEra || read.revision < 0 || read.revision > kMaxRevision)
        return std::nullopt;
    return (read.era << kRevisionBits) + read.revision;
}

std::int64_t eraOfToken(FencingToken token)
{
    return token >> kRevisionBits;
}

} // namespace foxtailtally
