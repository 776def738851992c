#pragma once

#include "servers/placement/stream_placement.h"

#include <absl/time/time.h>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace foxtailtally {

/** Order in which streams wait for engines. */
enum class AdmissionOrder : std::uint8_t {
    /** As they arrive. */
    Arrival,
    /** Those that can meet their objective before those that cannot. */
    Objective,
};

/** Arrival for any text but "objective". */
AdmissionOrder parseAdmissionOrder(std::string_view text);

/**
 * Priority with which a stream is sent to its engine, 0 to 9; engines admit the lowest number
 * first. Timely and resumed streams have 0 to 4, deferred ones 5 to 9; requests without a priority
 * count as 5. A stream that holds memory at other engines has 0: that memory is unused until the
 * stream is admitted, and newer streams could overtake it without end.
 */
int admissionPriority(const StreamDemand &demand, const StreamPlan &plan);

/** The engine may get streams now. */
bool isUsable(const EngineCandidate &candidate);

/**
 * Plan of a stream when streams wait in the order of their objectives. Without regard to queued
 * deferred streams it is planned as a timely one; if it would be late even so, it is deferred and
 * planned behind all that wait. Short deferred streams are queued at few engines, as long as their
 * callers wait; there is no plan for those beyond.
 */
std::optional<StreamPlan> chooseByObjective(const EngineTiming &engine, StreamDemand demand,
                                            std::span<const EngineCandidate> candidates,
                                            const ServerLoads &loads, absl::Time now);

} // namespace foxtailtally
