// Servers leave by the removal of their entries a little over three seconds after an outage of the
// store, when the instance that reads the store for the others has just been cut off from it.

#include "review/rig-3/deployment.h"
#include "tests/process/fault_proxy.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <map>

using namespace review;
using namespace foxtailtally;

namespace {

constexpr int kServers = 6;
/** Clients, spread over the instances. */
constexpr int kClients = 60;
constexpr int kRounds = 3;
/** Servers that leave in each round, of eight or more. */
constexpr int kLeaving = 2;
constexpr absl::Duration kDrainBound = absl::Seconds(2);
constexpr absl::Duration kStableWindow = absl::Seconds(3);
/** An outage that begins in the middle of a watch ends before the last call in it has timed out. */
constexpr absl::Duration kBeforeOutage = absl::Milliseconds(2250);
constexpr absl::Duration kOutage = absl::Seconds(2);
constexpr absl::Duration kObserved = absl::Seconds(4);

} // namespace

int main(int, char **arguments)
{
    const std::string repository = arguments[1];
    Record record(arguments[2]);
    const bool trouble = hasTrouble();
    record.line(trouble ? "with the disruption" : "without the disruption");
    Deployment deployment(repository,
                          {{"edge-saputara-1", "saputara"},
                           {"edge-saputara-2", "saputara"},
                           {"edge-saputara-3", "saputara"},
                           {"edge-ambaji-1", "ambaji"},
                           {"edge-ambaji-2", "ambaji"},
                           {"edge-pavagadh-1", "pavagadh"}});
    ServingStandin &platform = deployment.platform();
    const std::vector<std::string> zones = {"saputara", "ambaji", "pavagadh"};
    deployment.configure(1, {"key-1"});
    for (int server = 0; server < kServers; ++server)
        platform.addServer(server, "desk", zones[server % 3], platform.serverAddress(server));
    const int cut = deployment.storeReader();
    FaultProxy link(deployment.host(250) + ":8200", platform.storeAddress());
    for (int index = 0; index < deployment.size(); ++index)
        deployment.start(index, true, index == cut ? link.address() : platform.storeAddress());
    if (!deployment.waitUntilReady(absl::Seconds(30))) {
        record.line("the instances did not become ready");
        return kNotRun;
    }
    absl::SleepFor(absl::Seconds(3));

    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::map<std::string, absl::Time> leftAt;
    {
        // Each thread is a client of one instance.
        Load load(kClients, absl::Milliseconds(10), [&](int thread) {
            const int index = thread % deployment.size();
            CallerRequest request;
            request.address = deployment.callerAddress(index);
            request.method = "GET";
            request.path = "/look/a";
            request.headers = {absl::StrCat("Attempt-Id: r", ++sent), "Key: key-1",
                               "Deadline-Ms: 1000", "X-Run-Ms: 15",
                               absl::StrCat("X-Gateway: ", deployment.instance(index).id)};
            request.limit = absl::Seconds(1);
            served += callGateway(request).status == 200 ? 1 : 0;
        });
        for (int round = 0; round < kRounds; ++round) {
            const int first = kServers + round * (kLeaving + 1);
            for (int server = first; server < first + kLeaving; ++server)
                platform.addServer(server, "desk", zones[server % 3],
                                   platform.serverAddress(server));
            absl::SleepFor(kBeforeOutage);
            if (trouble) {
                platform.setStoreBehavior(StoreBehavior::NoResponse);
                record.line("the store is silent");
                absl::SleepFor(kOutage);
                platform.setStoreBehavior(StoreBehavior::Serve);
            }
            const absl::Time returned = absl::Now();
            record.line("the store serves");
            const auto at = [&](absl::Duration after) {
                absl::SleepFor(returned + after - absl::Now());
            };
            at(kStableWindow - absl::Milliseconds(100));
            const int added = first + kLeaving;
            platform.addServer(added, "desk", zones[0], platform.serverAddress(added));
            record.line(absl::StrCat(ServingStandin::serverName(added), " registers"));
            at(kStableWindow);
            if (trouble) {
                link.setFault(LinkFault::StallBoth);
                record.line(
                    absl::StrCat(deployment.instance(cut).id, " is cut off from the store"));
            }
            for (int number = 0; number < kLeaving; ++number) {
                at(kStableWindow + absl::Milliseconds(50) + absl::Milliseconds(100) * number);
                const std::string server = ServingStandin::serverName(first + number);
                platform.removeObject("servers", server);
                leftAt[server] = absl::Now();
                record.line(
                    absl::StrCat("the entry of ", server, " is removed; it goes on serving"));
            }
            absl::SleepFor(kObserved);
            link.setFault(LinkFault::None);
        }
    }
    int late = 0;
    // A machine that is cut off from the store is not in touch.
    const std::string cutId = deployment.instance(cut).id;
    for (const ServerArrival &arrival : platform.arrivals()) {
        const auto left = leftAt.find(arrival.server);
        if (left == leftAt.end() || arrival.gateway == cutId)
            continue;
        if (arrival.at <= left->second + kDrainBound)
            continue;
        ++late;
        record.line(absl::StrCat(arrival.callId, " reaches ", arrival.server, " from ",
                                 arrival.gateway, " at ", record.time(arrival.at), ", ",
                                 absl::ToInt64Milliseconds(arrival.at - left->second),
                                 " ms after the removal of its entry"));
    }
    record.line(absl::StrCat(sent.load(), " requests sent, ", served.load(), " served, ", late,
                             " reached a server later than DrainMs after it had left"));
    if (served < sent / 2)
        return kNotRun;
    return late > 0 ? kRuleBroken : kRuleHeld;
}
