#pragma once

#include "servers/admission/admission_policy.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** The system's own admission. */
constexpr std::string_view kGroupAdmission = "predictive";
/** The baseline, which also gives engines no priorities. */
constexpr std::string_view kFifoAdmission = "first_in_first_out";

/** Names accepted by makeAdmission(). */
std::span<const std::string_view> admissionNames();

/**
 * Owner of the group of @p servers, which is not empty, with all their units; null for an unknown
 * name. @p incarnation is the owner's incarnation; it grants nothing before @p readyAt.
 */
std::unique_ptr<AdmissionPolicy> makeAdmission(std::string_view name,
                                               std::span<const BackendServer> servers,
                                               Incarnation incarnation, absl::Time readyAt,
                                               absl::Time now);

/** Signature of makeAdmission(). */
using AdmissionFactory = std::function<std::unique_ptr<AdmissionPolicy>(
    std::string_view name, std::span<const BackendServer> servers, Incarnation incarnation,
    absl::Time readyAt, absl::Time now)>;

} // namespace foxtailtally
