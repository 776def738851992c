#pragma once

#include "core/random.h"
#include "core/request.h"
#include "servers/routing/routing_view.h"

#include <absl/container/inlined_vector.h>
#include <absl/time/time.h>
#include <string_view>

namespace foxtailtally {

/** Groups ranked per request; an entry instance sends reservations to their owners in order. */
constexpr std::size_t kRankedGroups = 3;

/** Groups in order of preference, without duplicates. */
using RankedGroups = absl::InlinedVector<GroupId, kRankedGroups>;

/**
 * Chooses server groups for a request. Returns only groups that may take requests and whose servers
 * can hold the whole context; the result is empty when there is none. Implementations must be
 * thread-safe, since all threads of a process share one object.
 */
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    /** Name used in settings and reports. */
    virtual std::string_view name() const = 0;
    virtual RankedGroups rank(const RoutingView &view, const RequestProfile &request,
                              absl::Time now, Random &random) const = 0;
};

} // namespace foxtailtally
