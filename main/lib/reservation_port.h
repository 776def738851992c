#pragma once

#include "core/request.h"
#include "core/reservation.h"
#include "core/result.h"
#include "servers/session/request_session.h"

#include <functional>

namespace foxtailtally {

/** Interface through which requests reach the owners of server groups. Thread-safe. */
class ReservationPort
{
public:
    /** Called once, on any thread; an unreachable owner gives an error. */
    using Callback = std::function<void(const Result<ReserveReply> &reply)>;

    virtual ~ReservationPort() = default;
    virtual void reserve(const GroupId &group, const RequestProfile &profile,
                         Callback callback) = 0;
    virtual void cancelReserve(const GroupId &group, const RequestId &request) = 0;
    virtual void release(const GroupId &group, const PermitRelease &release) = 0;
    /** Reports that a server broke the stream of a request with @p fingerprint. */
    virtual void reportSuspect(const ReportSuspect &suspect, const Fingerprint &fingerprint) = 0;
    /** Server deaths that count against @p fingerprint; see kQuarantineDeaths. */
    virtual std::uint32_t deathsSeen(const Fingerprint &fingerprint) const = 0;
};

} // namespace foxtailtally
