// A part of a prompt crashes the workers that begin to write an answer on it. While the system has
// not yet found out which part does, one more worker crashes for a reason of its own, under a sound
// request that shares the first part of its prompt with the deadly one.

#include "../rig-2/rig.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

using namespace rig;

namespace {

constexpr int kGateways = 3;
constexpr int kWorkers = 8;

/** The bounds of the small deployments. */
constexpr double kStableWindow = 3.0;
/** The rule counts requests where there are this many on both sides. */
constexpr int kMinRequests = 20;

/** Time from a request's arrival to its first event, as for a long prompt; aim: 4 s. */
constexpr double kPrefill = 2.0;
constexpr double kShortPrefill = 0.3;
constexpr int kEvents = 6;
constexpr double kEventInterval = 0.04;

constexpr double kWorkerRestart = 4.0;

const std::string kFirstPart = "5c1e07a2:40";
const std::string kDeadlyPart = "dead07a2:200";

struct Sound
{
    double sentAt = 0;
    bool hasBegun = false;
    int status = 0;
};

class Case
{
public:
    explicit Case(const std::string &folder)
        : record(folder + "/record.txt")
        , files(temporaryFolder())
        , store(loopback(200))
    { }
    ~Case() { std::filesystem::remove_all(this->files); }

    int run();

private:
    void configure();
    void work(Worker &worker, Connection &connection, const Request &request);
    Answer send(const std::string &parts, int tokens, const std::string &id, double limit);
    void sendSound(double until, double interval, std::vector<Sound> &sent);
    void keepSendingDeadly(double until);
    int verdict(const std::vector<Sound> &before, const std::vector<Sound> &after,
                double lastCrash);

    Record record;
    std::string files;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::mutex mutex;
    std::set<std::string> begun;
    std::vector<double> crashes;
    std::atomic<int> count = 0;
    /** The worker that runs the request with this id crashes for a reason of its own. */
    std::string victim;
};

void Case::configure()
{
    const Json engine = {{"Slots", 16},
                         {"KvCapacity", 405000},
                         {"Stride", 34},
                         {"step_ms", 1.31},
                         {"per_seq_ms", 0.000917},
                         {"context_per_k", 0.00213},
                         {"read_per_s", 154000.0},
                         {"pairs_per_m", 0.162},
                         {"chunk", 2048},
                         {"report_lag_ms", 200.0},
                         {"HopMs", 0.1}};
    this->store.put(
        "config", "main",
        {{"Version", 7},
         {"Routes",
          {{{"Name", "r-1"},
            {"Host", "ficu95.example"},
            {"PathPrefix", "/lohu930/"},
            {"Kind", "streaming"},
            {"TimeoutMs", 15000},
            {"TargetLatencyMs", 4000},
            {"Priority", 1},
            {"Service", "huvo11a"},
            {"MaxAttempts", 2},
            {"Public", false},
            {"Sticky", true},
            {"Resumable", true},
            {"GapAimMs", 1000}}}},
         {"Services",
          {{{"Name", "huvo11a"},
            {"HealthPath", "/healthz"},
            {"MaxConns", 424},
            {"Engine", engine}}}},
         {"Limits",
          {{"MaxHeaderBytes", 16384},
           {"MaxBodyBytes", 4194304},
           {"HeaderTimeoutMs", 3000},
           {"IdleTimeoutMs", 15000}}},
         {"Tenants",
          {{{"Name", "hule930"}, {"ApiKeys", {"n2ctnfzs989anu6wsjnb"}}, {"Priority", 1}}}}});
}

void Case::work(Worker &worker, Connection &connection, const Request &request)
{
    const std::string id = header(request.headers, "attempt-id");
    const std::string parts = header(request.headers, "prompt-prefix");
    const bool isDeadly = parts.find(kDeadlyPart) != std::string::npos;
    const bool isLong = header(request.headers, "token-usage").starts_with("182000");
    this->record.line("worker " + worker.id() + " gets request " + id);
    const double prefillEnd = now() + (isLong ? kPrefill : kShortPrefill);
    while (now() < prefillEnd) {
        if (!connection.isOpen() || connection.isClosedByPeer())
            return connection.reset();
        bool isVictim = false;
        {
            const std::lock_guard lock(this->mutex);
            isVictim = this->victim == id && now() > prefillEnd - kPrefill / 4;
        }
        if (isVictim) {
            {
                const std::lock_guard lock(this->mutex);
                this->victim.clear();
                this->crashes.push_back(now());
            }
            this->record.line("worker " + worker.id() + " crashes for a reason of its own");
            worker.crash(kWorkerRestart);
            return connection.reset();
        }
        sleepFor(0.01);
    }
    {
        const std::lock_guard lock(this->mutex);
        this->begun.insert(id);
        if (isDeadly)
            this->crashes.push_back(now());
    }
    if (isDeadly) {
        this->record.line("worker " + worker.id() + " crashes at request " + id);
        worker.crash(kWorkerRestart);
        return connection.reset();
    }
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    head += headerLines(sealed(request));
    if (!connection.send(head + "\r\n"))
        return connection.reset();
    const std::string last = header(request.headers, "last-event-id");
    for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= kEvents; ++event) {
        const std::string text =
            "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        if (!connection.send(size + text + "\r\n"))
            return connection.reset();
        sleepFor(kEventInterval);
    }
    connection.send("0\r\n\r\n");
}

Answer Case::send(const std::string &parts, int tokens, const std::string &id, double limit)
{
    const int number = ++this->count;
    char own[16];
    std::snprintf(own, sizeof own, "%08x", number);
    Request request;
    request.method = "POST";
    request.target = "/lohu930/2f";
    request.body = "prompt " + std::to_string(number);
    request.headers = {{"Host", "ficu95.example"},
                       {"Attempt-Id", id},
                       {"Model", "m"},
                       {"Token-Usage", std::to_string(tokens) + ",200"},
                       {"Prompt-Prefix", parts + "," + own + ":" + std::to_string(tokens - 240)},
                       {"Deadline-Ms", std::to_string(static_cast<int>(limit * 1000))},
                       {"Key", "n2ctnfzs989anu6wsjnb"}};
    const Gateway &gateway = *this->gateways[static_cast<std::size_t>(number % kGateways)];
    this->record.line("request " + id + " sent to " + gateway.host() + ": " + parts);
    Answer answer = call(gateway.host(), Gateway::kFrontPort, request, limit);
    this->record.line("request " + id + " ends: " + std::to_string(answer.status)
                      + (answer.isWhole ? "" : " cut") + " "
                      + (answer.status == 200 ? ""
                                              : answer.body + " Retry-After "
                                 + header(answer.headers, "retry-after")));
    return answer;
}

void Case::sendSound(double until, double interval, std::vector<Sound> &sent)
{
    std::vector<std::thread> callers;
    std::mutex guard;
    while (now() < until) {
        callers.emplace_back([this, &guard, &sent] {
            static std::atomic<int> number = 0;
            char id[32];
            std::snprintf(id, sizeof id, "5000000000%06x", ++number);
            Sound sound;
            sound.sentAt = now();
            sound.status = this->send(kFirstPart, 5000, id, 10.0).status;
            {
                const std::lock_guard lock(this->mutex);
                sound.hasBegun = this->begun.contains(id);
            }
            const std::lock_guard lock(guard);
            sent.push_back(sound);
        });
        sleepFor(interval);
    }
    for (std::thread &caller : callers)
        caller.join();
}

void Case::keepSendingDeadly(double until)
{
    const std::string parts = kFirstPart + "," + kDeadlyPart;
    for (int number = 1; now() < until; ++number) {
        char id[32];
        std::snprintf(id, sizeof id, "dead000001%06x", number);
        this->send(parts, 182000, id, 10.0);
        sleepFor(1.0);
    }
}

int Case::verdict(const std::vector<Sound> &before, const std::vector<Sound> &after,
                  double lastCrash)
{
    const auto begunOf = [](const std::vector<Sound> &sounds) {
        return std::count_if(sounds.begin(), sounds.end(),
                             [](const Sound &sound) { return sound.hasBegun; });
    };
    std::vector<Sound> counted;
    std::copy_if(after.begin(), after.end(), std::back_inserter(counted),
                 [&](const Sound &sound) { return sound.sentAt > lastCrash + 2 * kStableWindow; });
    this->record.line("outside disruption: " + std::to_string(begunOf(before)) + " of "
                      + std::to_string(before.size()) + " sound requests have begun");
    this->record.line("later than 6 s after the last crash: " + std::to_string(begunOf(counted))
                      + " of " + std::to_string(counted.size()) + " sound requests have begun");
    if (before.size() < kMinRequests || counted.size() < kMinRequests)
        return 2;
    const double usual = static_cast<double>(begunOf(before)) / static_cast<double>(before.size());
    const double share =
        static_cast<double>(begunOf(counted)) / static_cast<double>(counted.size());
    const bool isBroken = share < usual / 2;
    this->record.line(isBroken ? "LOST is broken" : "LOST holds");
    return isBroken ? 1 : 0;
}

int Case::run()
{
    this->configure();
    for (int i = 0; i < kWorkers; ++i)
        this->workers.push_back(std::make_unique<Worker>(
            this->store, loopback(100 + i), "huvo11a", "zone-" + std::to_string(i % 3), 16,
            [this](Worker &worker, Connection &connection, const Request &request) {
                this->work(worker, connection, request);
            }));
    for (int i = 0; i < kGateways; ++i) {
        Gateway::Options options;
        options.id = "edge-" + std::to_string(i + 1);
        options.zone = "zone-" + std::to_string(i);
        options.host = loopback(i + 1);
        options.store = this->store.address();
        options.folder = this->files;
        this->gateways.push_back(std::make_unique<Gateway>(options));
        this->gateways.back()->start();
    }
    for (const auto &gateway : this->gateways)
        gateway->waitUntilReady(20);
    sleepFor(2.0);

    std::vector<Sound> before;
    this->sendSound(now() + 10.0, 0.3, before);

    if (hasTrouble()) {
        const std::string mode = std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1";
        // A quiet moment: one request with the deadly part, then a sound one.
        // Its client repeats it once, as the sheet says.
        this->send(kFirstPart + "," + kDeadlyPart, 182000, "dead000000000001", 15.0);
        this->send(kFirstPart + "," + kDeadlyPart, 182000, "dead000000000002", 10.0);
        if (mode != "part") {
            const std::lock_guard lock(this->mutex);
            this->victim = "5000000001000001";
        }
        this->send(kFirstPart, 182000, "5000000001000001", 10.0);
    }
    const double until = now() + 30.0;
    std::vector<Sound> after;
    std::thread deadly;
    if (hasTrouble())
        deadly = std::thread([this, until] { this->keepSendingDeadly(until); });
    this->sendSound(until, 0.3, after);
    if (deadly.joinable())
        deadly.join();
    double lastCrash = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->crashes.empty())
            lastCrash = this->crashes[std::min<std::size_t>(this->crashes.size(), 5) - 1];
    }
    for (const std::string &name : this->store.names("foxtailtally-deaths"))
        this->record.line("in the store: foxtailtally-deaths/" + name);
    return this->verdict(before, after, lastCrash);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    try {
        return Case(folder).run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
