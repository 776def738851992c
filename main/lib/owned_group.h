#pragma once

#include "core/backend_server.h"
#include "main/lib/reservation_port.h"
#include "servers/admission/admission_options.h"
#include "servers/admission/admission_policy.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** A server group that this instance owns, with the callbacks of its waiting reservations. */
class OwnedGroup
{
public:
    OwnedGroup(std::unique_ptr<AdmissionPolicy> admission, std::vector<BackendServer> servers);

    AdmissionPolicy &admission() { return *this->policy; }
    const std::vector<BackendServer> &servers() const { return this->listed; }
    void setServers(std::vector<BackendServer> servers) { this->listed = std::move(servers); }

    /** Registers the callback of a request; call before AdmissionPolicy::reserve(). */
    void addWaiting(const RequestId &request, ReservationPort::Callback callback);
    /** Removes a withdrawn request without calling its callback. */
    void removeWaiting(const RequestId &request);
    /** Calls the callbacks of the requests that @p actions grant or refuse. */
    void answer(const AdmissionActions &actions);
    /** Fails all waiting requests with ConnectionLost when this instance stops owning the group. */
    void failWaiting();

private:
    void answerGrant(const GrantAction &action);
    void answerRefusal(const RefuseAction &action);
    ReservationPort::Callback takeWaiting(const RequestId &request);

    std::unique_ptr<AdmissionPolicy> policy;
    std::vector<BackendServer> listed;
    absl::flat_hash_map<RequestId, ReservationPort::Callback> waiting;
};

/** Creates the admission policy named in the settings; null for an unknown name. */
std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(std::string_view name,
                                                     AdmissionOptions options);

} // namespace foxtailtally
