#pragma once

#include "core/backend_server.h"
#include "core/reservation.h"

#include <absl/time/time.h>
#include <memory>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailtally {

/** Refusal of one waiting or new reservation. */
struct ReservationRefused
{
    RequestId request;
    Refusal refusal;
};

using AdmissionAction = std::variant<Grant, ReservationRefused>;
using AdmissionActions = std::vector<AdmissionAction>;

/** The owner of one server group as an experiment sees it. */
class AdmissionModel
{
public:
    virtual ~AdmissionModel() = default;

    /** Whether engines are given the request's class as priority. */
    virtual bool usesPriorities() const = 0;
    virtual AdmissionActions reserve(const RequestProfile &request, absl::Time now) = 0;
    /** The caller or its deadline withdrew a waiting reservation. */
    virtual AdmissionActions cancel(const RequestId &request, absl::Time now) = 0;
    virtual AdmissionActions release(const PermitRelease &release, absl::Time now) = 0;
    virtual AdmissionActions onLoadReport(const LoadReport &report, absl::Time now) = 0;
    virtual AdmissionActions onServerLost(const BackendServerId &server, absl::Time now) = 0;
    virtual AdmissionActions onTick(absl::Time now) = 0;
    virtual GroupSummary summary(absl::Time now) = 0;
};

/** Names accepted by makeAdmissionModel(). */
std::span<const std::string_view> admissionModelNames();

/** Owner of the group of @p servers, which is not empty; null for an unknown name. */
std::unique_ptr<AdmissionModel> makeAdmissionModel(std::string_view name,
                                                   const std::vector<BackendServer> &servers,
                                                   absl::Time now);

} // namespace foxtailtally
