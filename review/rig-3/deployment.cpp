#include "review/rig-3/deployment.h"

#include "servers/fleet/instance_record.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace review {

using namespace foxtailtally;
using Json = nlohmann::json;

namespace {

constexpr int kPlatformHost = 200;

Json route(const std::string &name, const std::string &prefix, const std::string &kind,
           const std::string &service)
{
    const bool isStream = kind == "streaming";
    return {{"Name", name},
            {"Host", "desk.example"},
            {"PathPrefix", prefix},
            {"Kind", kind},
            {"Service", service},
            {"TimeoutMs", isStream ? 10000 : 1000},
            {"TargetLatencyMs", isStream ? 300 : 100},
            {"GapAimMs", 250},
            {"MaxAttempts", kind == "non_idempotent" ? 1 : 2},
            {"Priority", 1},
            {"Resumable", isStream}};
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

Record::Record(const std::string &file)
    : file(file)
    , beganAt(absl::Now())
{ }

std::string Record::time(absl::Time at) const
{
    return absl::StrFormat("%8.3f", absl::ToDoubleSeconds(at - this->beganAt));
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    this->file << this->time(absl::Now()) << "  " << text << std::endl;
}

Deployment::Deployment(const std::string &repository, std::vector<Instance> instances,
                       const Bounds &bounds)
    : repository(repository)
    , instances(std::move(instances))
    , bounds(bounds)
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    this->folder = pattern;
    this->standin = std::make_unique<ServingStandin>(this->host(kPlatformHost));
    this->processes.resize(this->instances.size());
}

Deployment::~Deployment()
{
    this->processes.clear();
    this->standin.reset();
    std::filesystem::remove_all(this->folder);
}

std::string Deployment::host(int number) const
{
    // All of 127.0.0.0/8 is loopback; the process id separates concurrent runs.
    const int pid = getpid();
    return absl::StrCat("127.", 1 + (pid >> 8) % 254, ".", pid % 256, ".", number);
}

std::string Deployment::callerAddress(int index) const
{
    return this->host(index + 1) + ":8227";
}

std::string Deployment::logText(int index) const
{
    std::ifstream log(absl::StrCat(this->folder, "/", index, ".log"));
    return std::string((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
}

void Deployment::start(int index, bool isFirstStart, const std::string &store)
{
    const std::string file = absl::StrCat(this->folder, "/", index, ".conf");
    const std::string own = this->host(index + 1);
    const Instance &instance = this->instances.at(index);
    // As deploy/node.ini, filled with the fields of a small deployment.
    std::ofstream(file) << "[instance]\nid = " << instance.id
                        << "\nfailure_domain = " << instance.zone << "\naddress = " << own
                        << "\ncaller_address = " << own << ":8227\nready_address = " << own
                        << ":8220\ninternal_ports = 7340,7355\nprocessor_cores = " << instance.cores
                        << "\nmemory = " << this->bounds.memoryMb
                        << " MiB\nlink = 1000.0\nfirst_start = "
                        << (isFirstStart ? "true" : "false") << "\n[store]\naddress = " << store
                        << "\n[keys]\nrevocation_bound = " << this->bounds.revokeMs
                        << " ms\n[retries]\nratio = 0.2\nslack = 100\nwindow = 10 s\n"
                        << "[servers]\nheartbeat = 1200 ms\ndrain_bound = " << this->bounds.drainMs
                        << " ms\n[cold]\nfactor = 1.5\nslack = 5\n[stop]\nlimit = "
                        << this->bounds.graceS << " s\n[engines]\norder = objective\n";
    this->processes.at(index) = std::make_unique<ChildProcess>(
        std::vector<std::string> {this->repository + "/target/foxtailtally", "gateway",
                                  "--settings", file},
        absl::StrCat(this->folder, "/", index, ".log"));
}

bool Deployment::isReady(int index) const
{
    CallerRequest request;
    request.address = this->host(index + 1) + ":8220";
    request.method = "GET";
    request.path = "/ready";
    request.limit = absl::Seconds(1);
    return callGateway(request).status == 200;
}

bool Deployment::waitUntilReady(absl::Duration limit) const
{
    const absl::Time end = absl::Now() + limit;
    for (int index = 0; index < this->size(); ++index) {
        while (!this->isReady(index)) {
            if (absl::Now() > end)
                return false;
            absl::SleepFor(absl::Milliseconds(20));
        }
    }
    return true;
}

int Deployment::storeReader() const
{
    const auto record = [this](int index) {
        InstanceRecord result;
        result.id = InstanceId(this->instances.at(index).id);
        result.capacity = this->instances.at(index).cores * 1000.0;
        return result;
    };
    int first = 0;
    for (int index = 1; index < this->size(); ++index) {
        if (ranksBefore(record(index), record(first)))
            first = index;
    }
    return first;
}

void Deployment::configure(int version, const std::vector<std::string> &keys)
{
    const Json engine = {{"Slots", 16},     {"KvCapacity", 405000}, {"Stride", 34},
                         {"step_ms", 1.31}, {"read_per_s", 154000}, {"chunk", 2048}};
    const Json config = {
        {"Version", version},
        {"Routes",
         {route("l", "/look/", "idempotent", "desk"), route("a", "/act/", "non_idempotent", "desk"),
          route("s", "/stream/", "streaming", "engine")}},
        {"Services",
         {{{"Name", "engine"}, {"Engine", engine}, {"MaxConns", 424}},
          {{"Name", "desk"}, {"MaxConns", 96}}}},
        {"Limits",
         {{"MaxBodyBytes", 4194304},
          {"MaxHeaderBytes", 16384},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}}},
        {"Tenants", {{{"Name", "customer-1"}, {"ApiKeys", keys}}}}};
    this->standin->putObject("config", "main", config.dump());
}

Load::Load(int threads, absl::Duration pause, const std::function<void(int)> &task)
{
    for (int number = 0; number < threads; ++number) {
        this->workers.emplace_back([this, number, pause, task] {
            while (!this->isStopping) {
                task(number);
                absl::SleepFor(pause);
            }
        });
    }
}

Load::~Load()
{
    this->isStopping = true;
    for (std::thread &worker : this->workers)
        worker.join();
}

} // namespace review
