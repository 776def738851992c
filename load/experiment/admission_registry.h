#pragma once

#include "servers/admission/admission_policy.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace foxtailtally {

/** Admission policy of the owners of `foxtailtally serve` (GroupAdmission). */
constexpr std::string_view kGroupAdmission = "predictive";
/** Baseline policy (FifoAdmission); engines receive no request priorities with it. */
constexpr std::string_view kFifoAdmission = "first_in_first_out";

/** Names accepted by makeAdmission(). */
std::span<const std::string_view> admissionNames();

/**
 * Creates the owner of the group that @p servers form; it may use all their request slots and
 * memory. Returns null for an unknown name. @p servers must not be empty; @p incarnation is that of
 * the owner, which grants nothing before @p readyAt.
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
