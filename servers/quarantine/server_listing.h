#pragma once

#include "core/ids.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** This instance's copy of the platform's list of backend servers. */
class ServerListing
{
public:
    virtual ~ServerListing() = default;

    /** Whether the list contains this incarnation of the server. */
    virtual bool has(const BackendServerId &server, Incarnation incarnation) const = 0;
    /** From confirmedFrom() to confirmedUntil() the list was known, without interruption, to be the
     * newest. */
    virtual absl::Time confirmedFrom() const = 0;
    virtual absl::Time confirmedUntil() const = 0;
};

} // namespace foxtailtally
