#include "tests/process/gateway_deployment.h"

#include "tests/process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace foxtailtally {

namespace {

using Json = nlohmann::json;

/** Last number of the stand-in's IP address; those of the gateways start at 1. */
constexpr int kStandinHost = 200;

constexpr absl::Duration kReadyLimit = absl::Seconds(30);

/** Number of deployments that this process has created; each has its own folder. */
std::atomic<int> deploymentCount = 0;

Json route(const std::string &name, const std::string &prefix, const std::string &kind,
           const std::string &service)
{
    return {{"Name", name},           {"Host", "desk.example"},
            {"PathPrefix", prefix},   {"Kind", kind},
            {"Service", service},     {"TimeoutMs", 4000},
            {"TargetLatencyMs", 400}, {"GapAimMs", 250},
            {"MaxAttempts", 3},       {"Resumable", kind == "streaming"}};
}

/** A route for long prompts, with longer timeouts. */
Json longRoute()
{
    Json result = route("l", "/long", "streaming", "engine");
    result["TimeoutMs"] = 14000;
    result["TargetLatencyMs"] = 4000;
    result["GapAimMs"] = 1000;
    return result;
}

} // namespace

GatewayDeployment::GatewayDeployment(int gateways)
    : folder(
        absl::StrCat(FOXTAILTALLY_BINARY_DIR, "/process-tests/", getpid(), "-", ++deploymentCount))
{
    std::filesystem::create_directories(this->folder);
    this->standin = std::make_unique<ServingStandin>(this->host(kStandinHost));
    this->processes.resize(static_cast<std::size_t>(gateways));
    this->logStarts.resize(static_cast<std::size_t>(gateways));
    this->storeAddresses.assign(static_cast<std::size_t>(gateways), this->standin->storeAddress());
}

GatewayDeployment::~GatewayDeployment()
{
    // The gateways must end before the platform that they are connected to.
    this->processes.clear();
}

std::string GatewayDeployment::host(int number) const
{
    // All of 127.0.0.0/8 is loopback; the process id separates concurrent test runs.
    const int pid = getpid();
    return absl::StrCat("127.", 1 + (pid >> 8) % 254, ".", pid % 256, ".", number);
}

std::string GatewayDeployment::spareHost(int number) const
{
    return this->host(kStandinHost + 1 + number);
}

std::string GatewayDeployment::callerAddress(int index) const
{
    return this->host(index + 1) + ":8080";
}

std::string GatewayDeployment::logFile(int index) const
{
    return absl::StrCat(this->folder, "/gateway-", index, ".log");
}

void GatewayDeployment::setStoreAddress(int index, const std::string &address)
{
    this->storeAddresses.at(static_cast<std::size_t>(index)) = address;
}

void GatewayDeployment::start(int index)
{
    const std::string file = absl::StrCat(this->folder, "/gateway-", index, ".ini");
    const std::string own = this->host(index + 1);
    const std::string &store = this->storeAddresses.at(static_cast<std::size_t>(index));
    const std::string memory =
        this->memoryMebibytes ? absl::StrCat("memory = ", *this->memoryMebibytes, " MiB\n") : "";
    std::ofstream(file) << "[instance]\nid = gateway-" << index << "\nfailure_domain = d"
                        << index % 3 << "\naddress = " << own << "\ncaller_address = " << own
                        << ":8080\nready_address = " << own << ":8081\ninternal_ports = 7340,7355\n"
                        << memory << "[store]\naddress = " << store
                        << "\n[keys]\nrevocation_bound = 3 s\n[stop]\nlimit = 4 s\n"
                        << this->extraSettings;
    const std::string log = this->logFile(index);
    this->logStarts.at(static_cast<std::size_t>(index)) =
        std::filesystem::is_regular_file(log) ? std::filesystem::file_size(log) : 0;
    this->processes.at(static_cast<std::size_t>(index)) = std::make_unique<ChildProcess>(
        std::vector<std::string> {FOXTAILTALLY_BINARY_DIR "/foxtailtally", "gateway", "--settings",
                                  file},
        this->logFile(index));
}

bool GatewayDeployment::hasStarted(int index) const
{
    std::ifstream log(this->logFile(index));
    log.seekg(static_cast<std::streamoff>(this->logStarts.at(static_cast<std::size_t>(index))));
    const std::string text((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
    return text.find("\"event\":\"started\"") != std::string::npos;
}

bool GatewayDeployment::isReady(int index) const
{
    CallerRequest request;
    request.address = this->host(index + 1) + ":8081";
    request.method = "GET";
    request.path = "/ready";
    request.limit = absl::Seconds(1);
    return callGateway(request).status == 200;
}

bool GatewayDeployment::waitUntilReady(int index) const
{
    const absl::Time end = absl::Now() + kReadyLimit;
    while (!this->isReady(index)) {
        if (absl::Now() > end)
            return false;
        absl::SleepFor(absl::Milliseconds(20));
    }
    return true;
}

std::string GatewayDeployment::metrics(int index) const
{
    CallerRequest request;
    request.address = this->host(index + 1) + ":7341";
    request.method = "GET";
    request.path = "/metrics";
    return callGateway(request).body;
}

void GatewayDeployment::configure(int version, const std::vector<std::string> &keys,
                                  double readTokensPerSecond, int maxBodyBytes)
{
    const Json engine = {{"Slots", 16},
                         {"KvCapacity", 405000},
                         {"Stride", 34},
                         {"step_ms", 1.31},
                         {"read_per_s", readTokensPerSecond},
                         {"chunk", 2048}};
    Json config = {
        {"Version", version},
        {"Routes",
         {route("s", "/stream", "streaming", "engine"), longRoute(),
          route("n", "/act", "non_idempotent", "desk"), route("i", "/look", "idempotent", "desk")}},
        {"Services",
         {{{"Name", "engine"}, {"Engine", engine}},
          {{"Name", "desk"}, {"ColdPerS", this->coldRate}}}},
        {"Limits", {{"MaxBodyBytes", maxBodyBytes}, {"MaxHeaderBytes", 8192}}},
        {"Tenants", {{{"Name", "customer-1"}, {"ApiKeys", keys}}}}};
    if (this->scaling)
        config["Services"][0]["Scaling"] = {{"MinReplicas", this->scaling->first},
                                            {"MaxReplicas", this->scaling->second},
                                            {"StartupS", 1.0}};
    for (const AddedRoute &added : this->addedRoutes) {
        Json entry = route("added " + added.prefix, added.prefix, added.kind, "desk");
        entry["Resumable"] = added.isResumable && added.kind == "streaming";
        config["Routes"].push_back(std::move(entry));
    }
    this->standin->putObject(std::string(platform::kConfigKind), std::string(platform::kConfigName),
                             config.dump());
}

} // namespace foxtailtally
