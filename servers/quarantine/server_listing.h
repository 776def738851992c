#pragma once

#include "core/ids.h"

#include <absl/time/time.h>

namespace foxtailtally {

/** The platform's list of backend servers as this instance knows it. */
class ServerListing
{
public:
    virtual ~ServerListing() = default;

    /** The list has this life of the server. */
    virtual bool has(const BackendServerId &server, Incarnation incarnation) const = 0;
    /** The list was known to be the newest, without interruption, from the first to the second
     * moment. */
    virtual absl::Time confirmedFrom() const = 0;
    virtual absl::Time confirmedUntil() const = 0;
};

} // namespace foxtailtally
