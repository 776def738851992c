#pragma once

#include "tests/process/child_process.h"
#include "tests/process/http_caller.h"
#include "tests/process/serving_standin.h"

#include <absl/time/time.h>
#include <atomic>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Exit codes of a case. */
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

/** False if the environment variable TROUBLE is "0": the case runs without the disruption. */
bool hasTrouble();

/** Writes record.txt in the folder of the case; the times are seconds since the first line. */
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    /** @p at as seconds since the first line. */
    std::string time(absl::Time at) const;

private:
    std::mutex mutex;
    std::ofstream file;
    absl::Time beganAt;
};

struct Instance
{
    std::string id;
    std::string zone;
    /** processor share; instances of small deployments have 0.25. */
    double cores = 0.25;
};

/** Settings of the users' sheet that a case may differ in. */
struct Bounds
{
    int revokeMs = 5000;
    int drainMs = 2000;
    int graceS = 8;
    int memoryMb = 260;
};

/** Processes of target/foxtailtally with the settings that deploy/node.ini makes of the sheet of a
 * small deployment, and stand-ins of the store and the servers on loopback addresses. */
class Deployment
{
public:
    Deployment(const std::string &repository, std::vector<Instance> instances,
               const Bounds &bounds = {});
    ~Deployment();

    foxtailtally::ServingStandin &platform() { return *this->standin; }
    foxtailtally::ChildProcess &process(int index) { return *this->processes.at(index); }
    const Instance &instance(int index) const { return this->instances.at(index); }
    int size() const { return static_cast<int>(this->instances.size()); }
    std::string callerAddress(int index) const;
    std::string host(int number) const;
    std::string logText(int index) const;

    /** Starts an instance; @p isFirstStart as in Bootstrap, @p store: the address of the store. */
    void start(int index, bool isFirstStart, const std::string &store);
    void start(int index, bool isFirstStart)
    {
        this->start(index, isFirstStart, this->standin->storeAddress());
    }
    bool waitUntilReady(absl::Duration limit) const;
    bool isReady(int index) const;
    /** The instance that is first by rank: it watches the store, and the others fetch from it. */
    int storeReader() const;

    /** Stores the configuration @p version: the services "desk" and "engine", routes /look/
     * (idempotent), /act/ (non_idempotent) and /stream/ (streaming, resumable), and @p keys. */
    void configure(int version, const std::vector<std::string> &keys);

private:
    std::string repository;
    std::string folder;
    std::vector<Instance> instances;
    Bounds bounds;
    std::unique_ptr<foxtailtally::ServingStandin> standin;
    std::vector<std::unique_ptr<foxtailtally::ChildProcess>> processes;
};

/** Runs @p task on @p threads threads, again and again, until it is destroyed. */
class Load
{
public:
    Load(int threads, absl::Duration pause, const std::function<void(int)> &task);
    ~Load();

private:
    std::atomic<bool> isStopping = false;
    std::vector<std::thread> workers;
};

} // namespace review
