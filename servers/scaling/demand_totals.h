#pragma once

#include <absl/container/btree_map.h>
#include <cstdint>
#include <string>

namespace foxtailtally {

/** Work that the requests to a service require, whatever becomes of them, since the start of the
 * process. */
struct ServiceDemand
{
    /** Time that otherwise idle engines take for the prefills, in microseconds. */
    std::uint64_t prefillUs = 0;
    /** Time for which requests occupy a slot, in milliseconds. */
    std::uint64_t slotMs = 0;
    /** Memory multiplied by the time for which it is occupied. */
    std::uint64_t memoryTokenMs = 0;
    std::uint64_t requests = 0;

    bool operator==(const ServiceDemand &) const = default;
};

/** Cumulative demand by the name of the service. */
using DemandTotals = absl::btree_map<std::string, ServiceDemand>;

} // namespace foxtailtally
