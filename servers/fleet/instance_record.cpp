#include "servers/fleet/instance_record.h"

#include "core/hash.h"

namespace foxtailtally {

namespace {

/** Key under which instances of the same capacity are ordered. */
constexpr std::string_view kOrderKey = "store-watchers";

} // namespace

bool ranksBefore(const InstanceRecord &a, const InstanceRecord &b)
{
    if (a.capacity != b.capacity)
        return a.capacity > b.capacity;
    return rendezvousWeight(kOrderKey, a.id.str()) > rendezvousWeight(kOrderKey, b.id.str());
}

} // namespace foxtailtally
