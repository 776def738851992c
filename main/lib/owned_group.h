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

/** A server group that this instance owns, with the callers that wait for its answers. */
class OwnedGroup
{
public:
    OwnedGroup(std::unique_ptr<AdmissionPolicy> admission, std::vector<BackendServer> servers);

    AdmissionPolicy &admission() { return *this->policy; }
    const std::vector<BackendServer> &servers() const { return this->listed; }
    void setServers(std::vector<BackendServer> servers) { this->listed = std::move(servers); }

    /** Remembers whom to answer; call before AdmissionPolicy::reserve(). */
    void addWaiting(const RequestId &request, ReservationPort::Callback callback);
    /** Forgets a withdrawn request without an answer. */
    void dropWaiting(const RequestId &request);
    /** Calls back everybody that @p actions answer. */
    void answer(const AdmissionActions &actions);
    /** Tells everybody who still waits that the owner has gone. */
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
