#include "main/lib/owned_group.h"

#include "servers/admission/fifo_admission.h"
#include "servers/admission/group_admission.h"
#include "servers/admission/group_servers.h"

#include <utility>

namespace foxtailtally {

OwnedGroup::OwnedGroup(std::unique_ptr<AdmissionPolicy> admission,
                       std::vector<BackendServer> servers)
    : policy(std::move(admission))
    , listed(std::move(servers))
{ }

void OwnedGroup::addWaiting(const RequestId &request, ReservationPort::Callback callback)
{
    this->waiting[request] = std::move(callback);
}

void OwnedGroup::removeWaiting(const RequestId &request)
{
    this->waiting.erase(request);
}

void OwnedGroup::answer(const AdmissionActions &actions)
{
    for (const AdmissionAction &action : actions) {
        if (std::holds_alternative<GrantAction>(action))
            this->answerGrant(std::get<GrantAction>(action));
        else
            this->answerRefusal(std::get<RefuseAction>(action));
    }
}

void OwnedGroup::failWaiting()
{
    for (const auto &[request, callback] : std::exchange(this->waiting, {}))
        callback(Error::ConnectionLost);
}

void OwnedGroup::answerGrant(const GrantAction &action)
{
    ReserveReply reply;
    reply.granted = true;
    reply.grant = action.grant;
    for (const BackendServerId &id : action.grant.servers) {
        for (const BackendServer &server : this->listed) {
            if (server.id == id)
                reply.addresses.push_back(server.address);
        }
        const auto slot = this->policy->groupServers().slots().find(id);
        reply.incarnations.push_back(
            slot == this->policy->groupServers().slots().end() ? 0 : slot->second->incarnation);
    }
    const ReservationPort::Callback callback = this->takeWaiting(action.grant.request);
    if (callback)
        callback(reply);
}

void OwnedGroup::answerRefusal(const RefuseAction &action)
{
    ReserveReply reply;
    reply.refusal = action.refusal;
    const ReservationPort::Callback callback = this->takeWaiting(action.request);
    if (callback)
        callback(reply);
}

ReservationPort::Callback OwnedGroup::takeWaiting(const RequestId &request)
{
    const auto found = this->waiting.find(request);
    if (found == this->waiting.end())
        return nullptr;
    ReservationPort::Callback callback = std::move(found->second);
    this->waiting.erase(found);
    return callback;
}

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(std::string_view name,
                                                     AdmissionOptions options)
{
    if (name == "predictive")
        return std::make_unique<GroupAdmission>(std::move(options));
    if (name == "first_in_first_out")
        return std::make_unique<FifoAdmission>(std::move(options));
    return nullptr;
}

} // namespace foxtailtally
