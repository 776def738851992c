#include "load/experiment/experiment_options.h"

#include "core/text.h"
#include "load/experiment/admission_registry.h"
#include "servers/routing/policy_registry.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <optional>

namespace foxtailtally {

namespace {

constexpr std::string_view kSection = "experiment";
constexpr std::string_view kFaultSyntax =
    "faults as kind:number:begin:end with kind domain_lost, domain_out, server_lost or "
    "server_cold, an existing domain or server and seconds";

struct FaultName
{
    std::string_view name;
    FaultKind kind;
};

constexpr std::array<FaultName, 4> kFaultNames = {{
    {"domain_lost", FaultKind::DomainLost},
    {"domain_out", FaultKind::DomainOut},
    {"server_lost", FaultKind::ServerLost},
    {"server_cold", FaultKind::ServerCold},
}};

std::optional<ExperimentFault> parseFault(std::string_view text, const Deployment &deployment)
{
    const std::vector<std::string> parts = absl::StrSplit(asAbsl(text), ':');
    if (parts.size() != 4)
        return std::nullopt;
    const auto name = std::find_if(kFaultNames.begin(), kFaultNames.end(),
                                   [&](const FaultName &entry) { return entry.name == parts[0]; });
    ExperimentFault fault;
    double begin = 0;
    double end = 0;
    const bool isNumeric = absl::SimpleAtoi(parts[1], &fault.target)
        && absl::SimpleAtod(parts[2], &begin) && absl::SimpleAtod(parts[3], &end);
    if (name == kFaultNames.end() || !isNumeric || begin < 0 || end < begin)
        return std::nullopt;
    fault.kind = name->kind;
    const bool isDomain = fault.kind == FaultKind::DomainLost || fault.kind == FaultKind::DomainOut;
    if (fault.target < 0 || fault.target >= (isDomain ? deployment.domains : deployment.servers()))
        return std::nullopt;
    fault.begin = absl::Seconds(begin);
    fault.end = absl::Seconds(end);
    return fault;
}

std::optional<PolicyPair> parsePolicy(const std::string &text)
{
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    if (parts.size() != 2 || makeRoutingPolicy(parts[0]) == nullptr)
        return std::nullopt;
    const auto names = admissionNames();
    if (std::find(names.begin(), names.end(), parts[1]) == names.end())
        return std::nullopt;
    return PolicyPair {parts[0], parts[1]};
}

std::string allowedPolicies()
{
    std::string text = "routing/admission with routing ";
    for (const std::string_view name : routingPolicyNames())
        absl::StrAppend(&text, asAbsl(name), ", ");
    absl::StrAppend(&text, "and admission");
    for (const std::string_view name : admissionNames())
        absl::StrAppend(&text, " ", asAbsl(name));
    return text;
}

Result<ExperimentOptions> convert(const Settings &settings, const std::string &file,
                                  std::vector<SettingsProblem> &problems)
{
    const std::size_t problemsBefore = problems.size();
    const auto addProblem = [&](std::string_view key, std::string allowed) {
        problems.push_back({SettingsProblem::Kind::BadValue, file, std::string(kSection),
                            std::string(key), std::move(allowed)});
    };
    ExperimentOptions options;
    options.title = settings.text(kSection, "title");
    options.deploymentName = settings.text(kSection, "deployment");
    options.load = settings.ratio(kSection, "load");
    options.length = settings.duration(kSection, "length");
    options.seed = static_cast<std::uint64_t>(settings.count(kSection, "seed"));
    options.largestPrompt = settings.count(kSection, "largest_prompt");
    const std::string &shape = settings.text(kSection, "shape");
    options.shape = shape == "surge" ? RateShape::Surge : RateShape::Steady;
    if (shape != "surge" && shape != "steady")
        addProblem("shape", "steady or surge");
    for (const std::string &text : settings.list(kSection, "policies")) {
        const auto policy = parsePolicy(text);
        if (policy.has_value())
            options.policies.push_back(*policy);
        else
            addProblem("policies", allowedPolicies());
    }
    const Deployment *deployment = findDeployment(options.deploymentName);
    if (deployment == nullptr) {
        addProblem("deployment", "himrekha or fotocheck");
        return Error::SettingsInvalid;
    }
    for (const std::string &text : settings.list(kSection, "faults")) {
        const auto fault = parseFault(text, *deployment);
        if (fault.has_value())
            options.faults.push_back(*fault);
        else
            addProblem("faults", std::string(kFaultSyntax));
    }
    if (problems.size() != problemsBefore)
        return Error::SettingsInvalid;
    return options;
}

} // namespace

const std::vector<SettingSpec> &experimentSchema()
{
    static const std::vector<SettingSpec> schema = {
        {kSection, "title", SettingKind::Text, "experiment", 0, 0, false, "heading of the report"},
        {kSection, "deployment", SettingKind::Text, "", 0, 0, true, "himrekha or fotocheck"},
        {kSection, "load", SettingKind::Ratio, "0.8", 0.01, 10, false,
         "offered work as a ratio of capacity"},
        {kSection, "length", SettingKind::Duration, "10 min", 1, 86400, false,
         "length of the trace in virtual time"},
        {kSection, "shape", SettingKind::Text, "steady", 0, 0, false, "steady or surge"},
        {kSection, "policies", SettingKind::List,
         "deadline_aware/predictive,random/first_in_first_out,round_robin/first_in_first_out,"
         "least_requests/first_in_first_out,least_tokens/first_in_first_out,"
         "power_of_two/first_in_first_out",
         0, 0, false, "routing/admission pairs, the system's own first"},
        {kSection, "largest_prompt", SettingKind::Count, "1000000", 1000, 1000000, false,
         "prompt tokens; requests with longer prompts are left out of the trace"},
        {kSection, "faults", SettingKind::List, "", 0, 0, false, "kind:number:begin:end"},
        {kSection, "seed", SettingKind::Count, "1", 0, 1e15, false, "seed of trace and policies"},
    };
    return schema;
}

Result<ExperimentOptions> loadExperiment(const std::string &file,
                                         std::vector<SettingsProblem> &problems)
{
    const auto settings = Settings::load(file, experimentSchema(), problems);
    if (!settings)
        return settings.error();
    return convert(*settings, file, problems);
}

Result<ExperimentOptions> parseExperiment(const std::string &text, const std::string &name,
                                          std::vector<SettingsProblem> &problems)
{
    const auto settings = Settings::parse(text, name, experimentSchema(), problems);
    if (!settings)
        return settings.error();
    return convert(*settings, name, problems);
}

} // namespace foxtailtally
