#include "servers/fleet/instance_record.h"

#include "core/hash.h"

namespace foxtailtally {

namespace {

/** Rendezvous key that orders instances of the same capacity. */
constexpr std::string_view kRankKey = "store-watchers";

} // namespace

bool ranksBefore(const InstanceRecord &a, const InstanceRecord &b)
{
    if (a.capacity != b.capacity)
        return a.capacity > b.capacity;
    return rendezvousWeight(kRankKey, a.id.str()) > rendezvousWeight(kRankKey, b.id.str());
}

} // namespace foxtailtally
