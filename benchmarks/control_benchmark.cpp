#include "core/clock.h"
#include "main/lib/platform_list.h"
#include "main/lib/serving_state.h"
#include "peers/instance/envelope.h"
#include "peers/platform/platform_json.h"
#include "servers/routing/routing_view_builder.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>
#include <string>

namespace foxtailtally {

namespace {

/** Packs, verifies and unpacks the request and the reply of one reservation. */
void reservationMessages(benchmark::State &state)
{
    const InstanceKey key("secret");
    ReserveRequestMessage request;
    request.group = GroupId("west-hills-1-g1");
    request.profile.id = RequestId("west-hills-1-entry-1-1796355636694305-1000");
    request.profile.customer = CustomerId("customer-0");
    request.profile.model = ModelId("plough");
    request.profile.prefixBlocks.assign(16, 1);
    ReserveReplyMessage reply;
    reply.granted = true;
    reply.grant.request = request.profile.id;
    reply.grant.servers = {BackendServerId("west-hills-1-engine-1")};
    reply.addresses = {"127.0.0.1:21100"};
    reply.incarnations = {1796355636694305};
    std::size_t bytes = 0;
    for (auto step : state) {
        const std::string sent = packEnvelope(
            {MessageKind::ReserveRequest, InstanceId("entry"), 1, 1, packMessage(request)}, key);
        const auto received = unpackEnvelope(sent, key);
        benchmark::DoNotOptimize(unpackMessage<ReserveRequestMessage>(received->payload));
        const std::string answer = packEnvelope(
            {MessageKind::ReserveReply, InstanceId("owner"), 1, 1, packMessage(reply)}, key);
        const auto answered = unpackEnvelope(answer, key);
        benchmark::DoNotOptimize(unpackMessage<ReserveReplyMessage>(answered->payload));
        bytes = sent.size() + answer.size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void buildRoutingView(benchmark::State &state)
{
    RoutingViewBuilder builder;
    for (int i = 0; i < state.range(0); ++i) {
        GroupSummary summary;
        summary.group = GroupId("group-" + std::to_string(i));
        summary.model = ModelId("model-" + std::to_string(i % 4));
        summary.owner = InstanceId("entry-" + std::to_string(i));
        summary.servers = 4;
        summary.accepting = true;
        builder.setSummary(summary, absl::UnixEpoch());
    }
    for (auto step : state)
        benchmark::DoNotOptimize(builder.build());
}

ReleaseNote noteWith(std::int64_t customers)
{
    ReleaseNote note;
    note.number = 1;
    note.author = "benchmark";
    note.state.models.push_back({ModelId("plough"), {"1"}, "plough", absl::InfiniteFuture()});
    for (std::int64_t i = 0; i < customers; ++i) {
        CustomerEntry customer;
        customer.id = CustomerId("customer-" + std::to_string(i));
        customer.keyDigest = apiKeyDigest(std::to_string(i));
        customer.failureDomains = {FailureDomainId("a"), FailureDomainId("b")};
        customer.models = {ModelId("plough")};
        customer.tokensPerSecond = 1000;
        customer.requestsPerSecond = 10;
        note.state.customers.push_back(std::move(customer));
    }
    return note;
}

/** Parses, indexes and copies a new release note, as an instance does to put it in force. */
void putReleaseNoteInForce(benchmark::State &state)
{
    const std::string text = noteWith(state.range(0)).serialize();
    for (auto step : state) {
        DocumentProblems problems;
        ServingState serving;
        serving.note = *ReleaseNote::parse(text, problems);
        serving.indexCustomers();
        benchmark::DoNotOptimize(std::make_unique<ServingState>(serving));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void readInstanceList(benchmark::State &state)
{
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < state.range(0); ++i) {
        InstanceEntry entry;
        entry.id = "west-hills-1-engine-" + std::to_string(i);
        entry.kind = InstanceKind::Engine;
        entry.domain = FailureDomainId("west-hills-1");
        entry.address = "127.0.0.1:21100";
        entry.group = GroupId("west-hills-1-g1");
        entry.model = ModelId("plough");
        list.push_back(toJson(entry));
    }
    const std::string text = nlohmann::json {{"instances", list}}.dump();
    for (auto step : state)
        benchmark::DoNotOptimize(parseInstanceList(text, absl::UnixEpoch()));
    state.counters["bytes"] = static_cast<double>(text.size());
}

BENCHMARK(reservationMessages);
BENCHMARK(buildRoutingView)->Arg(6)->Arg(50)->Arg(150)->Unit(benchmark::kMicrosecond);
BENCHMARK(putReleaseNoteInForce)->Arg(10)->Arg(100)->Arg(740)->Unit(benchmark::kMicrosecond);
BENCHMARK(readInstanceList)->Arg(24)->Arg(240)->Arg(980)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace foxtailtally
