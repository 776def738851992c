#pragma once

#include "core/ids.h"

#include <string>
#include <string_view>

namespace foxtailtally {

/** Entry of an instance in the store, by which the others find and follow it. */
struct InstanceRecord
{
    InstanceId id;
    FailureDomainId domain;
    /** "ip:port" for datagrams between instances. */
    std::string exchangeAddress;
    /** "ip:port" from which others fetch its copies of the store's objects. */
    std::string relayAddress;
    /** Data rate of its network link in Mbit/s times the number of processor cores: an instance
     * that is followed sends to many others at once. */
    double capacity = 0;

    bool operator==(const InstanceRecord &) const = default;
};

/**
 * Whether @p a ranks before @p b as an instance to follow: by higher capacity, then by a hash. All
 * instances get the same order without coordination.
 */
bool ranksBefore(const InstanceRecord &a, const InstanceRecord &b);

} // namespace foxtailtally
