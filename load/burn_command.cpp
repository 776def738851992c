#include "core/clock.h"
#include "load/commands.h"
#include "load/report/burn_report.h"
#include "load/report/report_file.h"
#include "peers/http/http_client.h"

#include <absl/time/clock.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace foxtailtally {

namespace {

constexpr absl::Duration kReadTimeout = absl::Seconds(5);
constexpr int kStatusOk = 200;

/** Reads the metrics of all instances once; returns how many instances responded. */
std::size_t scrapeInstances(HttpClient &client, const BurnCommand &command, BurnTracker &tracker)
{
    std::size_t answers = 0;
    const absl::Time now = Clock::now();
    for (const std::string &instance : command.instances) {
        HttpCall call;
        call.url = instance + "/metrics";
        call.headers = {"Authorization: Bearer " + command.token};
        call.timeout = kReadTimeout;
        const Result<HttpReply> reply = client.perform(call);
        if (!reply || reply->status != kStatusOk) {
            std::cerr << instance << ": no metrics, "
                      << (reply ? "status " + std::to_string(reply->status)
                                : std::string(errorName(reply.error())))
                      << '\n';
            continue;
        }
        tracker.read(instance, reply->body, now);
        ++answers;
    }
    return answers;
}

} // namespace

CommandStatus runBurnReport(const BurnCommand &command)
{
    const bool isValid = !command.instances.empty() && command.seconds >= 0 && command.interval > 0
        && command.objective > 0 && command.objective < 1;
    if (!isValid) {
        std::cerr << "burn: needs the URL of an instance's operator interface, an interval above 0 "
                     "and an objective between 0 and 1\n";
        return CommandStatus::BadInput;
    }
    HttpClient client(1);
    // With an observation of 0 s the report covers the time since the start of the instances.
    BurnTracker tracker(command.seconds == 0);
    std::vector<absl::Time> times;
    const absl::Time end = Clock::now() + absl::Seconds(command.seconds);
    while (true) {
        if (scrapeInstances(client, command, tracker) > 0)
            times.push_back(Clock::now());
        if (Clock::now() >= end)
            break;
        absl::SleepFor(std::min(absl::Seconds(command.interval), end - Clock::now()));
    }
    if (times.empty())
        return CommandStatus::Failed;
    const BurnReport report = makeBurnReport(tracker, command.objective, times);
    std::cout << toText(report);
    const bool isWritten = writeReportFile(command.jsonFile, toJson(report).dump(2) + "\n")
        && writeReportFile(command.htmlFile, burnPage(report));
    return isWritten ? CommandStatus::Done : CommandStatus::Failed;
}

} // namespace foxtailtally
