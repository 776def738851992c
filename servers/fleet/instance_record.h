#pragma once

#include "core/ids.h"

#include <string>
#include <string_view>

namespace foxtailtally {

/** An instance as the store lists it, for the others to find and follow. */
struct InstanceRecord
{
    InstanceId id;
    FailureDomainId domain;
    /** "ip:port" for datagrams between instances. */
    std::string exchangeAddress;
    /** "ip:port" where it tells what it knows of the store. */
    std::string relayAddress;
    /** Megabits a second of its link, times its processor cores: one that is followed sends to many
     * at once. */
    double capacity = 0;

    bool operator==(const InstanceRecord &) const = default;
};

/**
 * True when @p a goes before @p b among the instances that others follow: the one with the higher
 * capacity, then by a hash. All instances order alike without asking.
 */
bool ranksBefore(const InstanceRecord &a, const InstanceRecord &b);

} // namespace foxtailtally
