#include "standins/lib/fault_set.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace foxtailtally {

namespace {

constexpr std::array<std::string_view, 5> kKinds = {"drop", "hang", "outage", "answer_lost",
                                                    "slow"};

} // namespace

bool FaultSet::apply(const std::string &kind, JsonReader &parameters)
{
    if (kind == "none") {
        this->faults.clear();
        return true;
    }
    if (std::find(kKinds.begin(), kKinds.end(), kind) == kKinds.end()) {
        return false;
    }
    const bool active = parameters.optionalFlag("active", true);
    Fault fault;
    fault.kind = kind;
    fault.method = parameters.optionalText("method");
    fault.path = parameters.optionalText("path");
    fault.left = parameters.optionalInteger("count", std::numeric_limits<std::int64_t>::max());
    fault.delay = absl::Milliseconds(parameters.optionalInteger("delay_ms", 0));
    if (!parameters.ok()) {
        return false;
    }
    std::erase_if(this->faults, [&](const Fault &other) { return other.kind == kind; });
    if (active && fault.left > 0) {
        this->faults.push_back(std::move(fault));
    }
    return true;
}

FaultDecision FaultSet::decide(std::string_view method, std::string_view path)
{
    FaultDecision decision;
    for (Fault &fault : this->faults) {
        const bool applies = (fault.method.empty() || fault.method == method)
            && path.substr(0, fault.path.size()) == fault.path;
        if (!applies) {
            continue;
        }
        --fault.left;
        decision.drop = decision.drop || fault.kind == "drop";
        decision.hang = decision.hang || fault.kind == "hang";
        decision.outage = decision.outage || fault.kind == "outage";
        decision.dropResponse = decision.dropResponse || fault.kind == "answer_lost";
        decision.delay = std::max(decision.delay, fault.delay);
    }
    std::erase_if(this->faults, [](const Fault &fault) { return fault.left <= 0; });
    return decision;
}

bool FaultSet::isActive(std::string_view kind) const
{
    return std::any_of(this->faults.begin(), this->faults.end(),
                       [&](const Fault &fault) { return fault.kind == kind; });
}

} // namespace foxtailtally
