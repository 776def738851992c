#include "core/settings.h"
#include "core/socket_address.h"
#include "main/gateway/exchange_message.h"
#include "main/gateway/gateway_settings.h"
#include "main/gateway/kind_cache.h"
#include "peers/http/deflate.h"
#include "peers/http/inbound_connection.h"
#include "peers/http/json_reader.h"
#include "peers/http/outbound_connection.h"
#include "peers/instance/limit_message.h"
#include "peers/instance/usage_message.h"
#include "platform/call_headers.h"
#include "platform/store_objects.h"
#include "servers/limits/rate_limiter.h"
#include "servers/placement/stream_ledger.h"
#include "servers/retry/event_relay.h"
#include "servers/usage/usage_distributor.h"
#include "tests/fuzz/byte_mutator.h"
#include "tests/http/raw_peer.h"
#include "tests/http/test_loop.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <ostream>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtailtally {
namespace {

constexpr std::size_t kMaxKeptBytes = std::size_t {1} << 20;

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

/** A decoder of bytes from other processes, with real messages that are mutated. */
struct FuzzTarget
{
    std::string name;
    std::vector<std::string> samples;
    /** Decodes @p bytes, uses the result as the product does, and checks it. */
    void (*run)(const std::string &bytes);
    /** Mutated messages in a run of CI. */
    int runs = 3000;

    friend void PrintTo(const FuzzTarget &target, std::ostream *out) { *out << target.name; }
};

const std::vector<std::string> kSpecs = {
    R"({"Service":"desk","Address":"10.0.0.9:8080","Zone":"east","Version":"v1","Slots":16,)"
    R"("State":"ready","ColdLeftMs":250,"Sequence":4,"born":1700000000123})",
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/a/",)"
    R"("Kind":"streaming","TimeoutMs":9000,"TargetLatencyMs":300,"Priority":1,"MaxAttempts":2,)"
    R"("Public":false,"Resumable":true,"GapAimMs":250,)"
    R"("TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}]}],)"
    R"("Services":[{"Name":"s","MaxConns":9,"ColdPerS":36.0,"Engine":{"Slots":16,)"
    R"("KvCapacity":405000,"Stride":34,"step_ms":1.31,"read_per_s":154000.0,"chunk":2048}}],)"
    R"("Limits":{"MaxBodyBytes":100},"Tenants":[{"Name":"c","ApiKeys":["k"],"Priority":1}]})",
    R"({"domain":"east","address":"10.0.0.1:7340","relay":"10.0.0.1:7342","capacity":24.0})",
    R"({"fingerprint":"00112233445566778899aabbccddeeff","server":"i-1","incarnation":7,)"
    R"("ended_at_ms":1700000000123})",
};

void decodeObject(const platform::StoredObject &object)
{
    if (const Result<ServerEntry> server = platform::decodeServer(object); server.ok()) {
        sockaddr_in address {};
        EXPECT_TRUE(parseAddress(server->address, address)) << server->address;
        EXPECT_TRUE(server->slots >= 1 && server->coldLeft >= absl::ZeroDuration());
    }
    if (const Result<InstanceRecord> instance = platform::decodeInstance(object); instance.ok()) {
        EXPECT_FALSE(instance->id.isEmpty());
        platform::encodeInstance(*instance);
    }
    if (const Result<CrashReport> report = platform::decodeCrashReport(object); report.ok())
        platform::encodeCrashReport(object.name, *report);
    if (const auto config = platform::decodeConfig(object.spec); config.ok())
        (*config)->findRoute("h.example", "/a/b");
    platform::objectTarget(platform::kServerKind, object.name);
}

void runSpec(const std::string &bytes)
{
    decodeObject({"i-1", 3, bytes});
}

void runPage(const std::string &bytes)
{
    const Result<platform::ObjectPage> page = platform::decodePage(bytes, platform::kServerKind);
    if (!page.ok())
        return;
    for (const platform::StoredObject &object : page->objects)
        decodeObject(object);
    KindCache cache(kMaxKeptBytes);
    cache.replace(page->objects, {0, page->revision});
    const auto relayed =
        platform::decodePage(platform::encodePage(cache.page()), platform::kServerKind);
    ASSERT_TRUE(relayed.ok());
    EXPECT_EQ(relayed->objects.size(), cache.page().objects.size());
    EXPECT_EQ(relayed->unnamed, 0U);
}

void runChanges(const std::string &bytes)
{
    const auto changes = platform::decodeChanges(bytes, platform::kServerKind);
    if (!changes.ok())
        return;
    for (const platform::ObjectChange &change : changes->changes)
        decodeObject(change.object);
    const auto relayed =
        platform::decodeChanges(platform::encodeChanges(*changes), platform::kServerKind);
    ASSERT_TRUE(relayed.ok());
    EXPECT_EQ(relayed->changes.size(), changes->changes.size());
    EXPECT_EQ(relayed->revision, changes->revision);
    KindCache cache(kMaxKeptBytes);
    cache.apply(changes->changes, {0, changes->revision});
}

void runStoreTarget(const std::string &bytes)
{
    const platform::StoreQuery query = platform::parseStoreTarget(bytes);
    KindCache cache(kMaxKeptBytes);
    cache.replace({}, {0, 10});
    if (query.watchFrom)
        cache.changesSince({0, *query.watchFrom});
}

/** Uses decoded messages as InstanceExchange does. */
class LedgerSink final : public MessageSink
{
public:
    void onReport(ReportMessage &message) override
    {
        encodeReport(message, kNow);
        this->ledger.replacePeer(InstanceId(message.header.instance), std::move(message.parts),
                                 kNow);
        this->use();
    }
    void onBundle(BundleMessage &message) override
    {
        EXPECT_FALSE(encodeBundle(message, kNow).empty());
        this->ledger.updateOwnDomain(message.ownDomain, kNow, kNow);
        this->ledger.updateOtherDomains(FailureDomainId(message.header.domain),
                                        message.otherDomains, kNow);
        this->use();
    }
    void onQuarantine(QuarantineMessage &message) override { encodeQuarantine(message, kNow); }

private:
    void use()
    {
        this->ledger.loads(kNow);
        this->ledger.ownDomainLoads(kNow + absl::Seconds(1));
        this->ledger.onTick(kNow + absl::Seconds(10));
    }

    StreamLedger ledger;
};

void runDatagram(const std::string &bytes)
{
    LedgerSink sink;
    // An error is as good as a result here.
    static_cast<void>(decodeMessage(bytes, kNow, sink));
}

/** An instance that issues the tokens of all servers. */
class SoleIssuer final : public LimitTopology
{
public:
    IssuerRoute issuerOf(ServerKey) const override { return {IssuerRoute::Kind::Self, {}}; }
    bool isAggregator() const override { return true; }
    std::string aggregatorAddress() const override { return {}; }
    std::vector<std::string> followerAddresses() const override { return {"10.0.0.2:7340"}; }
    std::vector<std::string> otherAggregatorAddresses() const override { return {}; }
    std::size_t lenders(absl::Time) const override { return 1; }
    std::size_t domainInstances() const override { return 1; }
    std::size_t listedDomainInstances() const override { return 1; }
};

void runLimitDatagram(const std::string &bytes)
{
    isLimitDatagram(bytes);
    const Result<LimitEnvelope> decoded = decodeLimitEnvelope(bytes, kNow);
    if (!decoded.ok())
        return;
    SoleIssuer topology;
    RateLimiter limiter(topology, "10.0.0.1:7340", 1, kNow - absl::Minutes(1));
    limiter.onNews(decoded->news, kNow);
    limiter.onClaims(decoded->claims, kNow);
    limiter.onReplies(decoded->replies, "10.0.0.2:7340", kNow);
    for (int step = 0; step < 5; ++step) {
        const absl::Time now = kNow + absl::Milliseconds(50) * step;
        limiter.onTick(now);
        limiter.nextWorkAt(now);
        limiter.takeOutcomes(now);
        for (const LimitEnvelope &envelope : limiter.takeMessages(now))
            encodeLimitEnvelope(envelope, now);
    }
}

/** An aggregator with one other domain. */
class SoleAggregator final : public UsageTopology
{
public:
    std::string aggregatorAddress() const override { return {}; }
    std::vector<InstanceRecord> otherAggregators() const override
    {
        return {{InstanceId("instance-1"), FailureDomainId("west"), "10.0.0.2:7340", "", 0}};
    }
    std::vector<std::string> followerAddresses() const override { return {"10.0.0.3:7340"}; }
    std::size_t instances() const override { return 3; }
    absl::btree_map<InstanceId, FailureDomainId> listed() const override
    {
        return {{InstanceId("instance-1"), FailureDomainId("west")}};
    }
};

void runUsageDatagram(const std::string &bytes)
{
    isUsageDatagram(bytes);
    const Result<UsageEnvelope> decoded = decodeUsageEnvelope(bytes, kNow);
    if (!decoded.ok())
        return;
    const absl::Duration window = absl::Seconds(5);
    SoleAggregator topology;
    UsageCounter counter({InstanceId("instance-0"), 1}, FailureDomainId("east"), window);
    UsageLedger ledger(window);
    UsageDistributor distributor(topology, counter, ledger);
    distributor.onTick(kNow);
    distributor.onEnvelope(*decoded, "10.0.0.2:7340", kNow);
    for (int step = 0; step < 5; ++step) {
        const absl::Time now = kNow + absl::Milliseconds(900) * step;
        distributor.onTick(now);
        const std::int64_t current = usageWindowAt(now, window);
        for (std::int64_t at = current - 3; at <= current; ++at) {
            ledger.isComplete(at, now);
            for (const auto &[customer, requests] : ledger.totals(at))
                EXPECT_GT(requests, 0);
        }
        for (const UsageMessage &message : distributor.takeMessages()) {
            for (const std::string &datagram : encodeUsageEnvelope(message.envelope, now))
                EXPECT_TRUE(decodeUsageEnvelope(datagram, now).ok());
        }
    }
}

void checkCall(const RequestHead &head)
{
    const platform::CallHeaders call = platform::decodeCallHeaders(head.headers);
    EXPECT_TRUE(call.promptTokens >= 0 && call.maxAnswerTokens >= 0);
    EXPECT_GE(call.promptTokens + call.maxAnswerTokens, 0);
    platform::ForwardedCall forwarded;
    forwarded.deadline = call.deadline.value_or(absl::Seconds(1));
    EXPECT_GE(forwarded.deadline, absl::ZeroDuration());
    platform::encodeForwardedCall(head, 0, forwarded);
}

class CallSink final : public InboundEvents
{
public:
    void onRequestHead(InboundConnection &connection) override { checkCall(connection.head()); }
    void onRequestComplete(InboundConnection &connection) override
    {
        connection.answer(200, {}, "done");
    }
    void onCallerGone(InboundConnection &) override { }
    void onWritable(InboundConnection &) override { }
    void onRequestRejected(InboundConnection &connection, int status) override
    {
        connection.answer(status, {}, "");
    }
    void onClosed(InboundConnection &) override { this->isClosed = true; }

    bool isClosed = false;
};

void runRequest(const std::string &bytes)
{
    TestLoop loop;
    int sockets[2] = {-1, -1};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets), 0);
    CallSink sink;
    InboundLimits limits;
    limits.bodyBytes = 100000;
    {
        InboundConnection connection(loop.base(), sockets[1], sink, limits);
        writeAll(sockets[0], bytes);
        ::shutdown(sockets[0], SHUT_WR);
        for (int i = 0; i < 50 && !sink.isClosed; ++i) {
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
            readAvailable(sockets[0]);
        }
    }
    ::close(sockets[0]);
}

class ReplySink final : public OutboundEvents, public IdleEvents
{
public:
    void onResponseHead(OutboundConnection &, const ResponseHead &head) override
    {
        const platform::ServerReply reply = platform::decodeServerReply(head);
        EXPECT_GE(reply.outstanding.value_or(0), 0);
        EXPECT_GE(reply.coldLeft.value_or(absl::ZeroDuration()), absl::ZeroDuration());
        EXPECT_GE(reply.requestedPause, absl::ZeroDuration());
        EXPECT_GE(reply.rateLimit.value_or(0), 0);
        EXPECT_GE(platform::decodeRelayFreshness(head.headers).age, absl::ZeroDuration());
        const Result<std::int64_t> era = platform::decodeStoreEra(head.headers);
        EXPECT_TRUE(!era.ok() || (*era >= 0 && *era <= platform::kMaxStoreEra));
        platform::callerHeaders(head.headers);
    }
    void onResponseBody(OutboundConnection &, std::string_view) override { }
    void onResponseComplete(OutboundConnection &) override { this->isOver = true; }
    void onCallFailed(OutboundConnection &, std::error_code) override { this->isOver = true; }
    void onIdleClosed(OutboundConnection &) override { }

    bool isOver = false;
};

void runResponse(const std::string &bytes)
{
    static RawServer server;
    TestLoop loop;
    ReplySink sink;
    IdleEvents &idle = sink;
    OutboundConnection connection(loop.base(), server.address(), idle);
    connection.call("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, {"Attempt-Id", "id-1"}, sink);
    int socket = -1;
    ASSERT_TRUE(loop.runUntil([&] { return (socket = server.accept()) >= 0; }));
    for (int i = 0; i < 3; ++i)
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    readAvailable(socket);
    writeAll(socket, bytes);
    ::shutdown(socket, SHUT_WR);
    EXPECT_TRUE(loop.runUntil([&] { return sink.isOver; }));
    ::close(socket);
}

void runEvents(const std::string &bytes)
{
    EventRelay relay("12");
    EventRelay::Run run = relay.beginRun(false);
    std::size_t forwarded = 0;
    for (std::size_t at = 0; at < bytes.size(); at += 1000) {
        const Result<std::string> events =
            relay.feed(run, std::string_view(bytes).substr(at, 1000));
        if (!events.ok())
            return;
        forwarded += events->size();
    }
    EXPECT_LE(forwarded, bytes.size());
    relay.lastEventId();
}

void runDeflate(const std::string &bytes)
{
    constexpr std::size_t kLimit = 100000;
    if (const Result<std::string> whole = decompressDeflate(bytes, kLimit); whole.ok()) {
        EXPECT_LE(whole->size(), kLimit);
    }
}

void runSettings(const std::string &bytes)
{
    std::vector<SettingsProblem> problems;
    const Result<Settings> settings =
        Settings::parse(bytes, "fuzz.ini", gatewaySettingsSchema(), problems);
    EXPECT_EQ(settings.ok(), problems.empty());
    for (const SettingsProblem &problem : problems)
        problem.describe();
    if (settings.ok())
        instanceRecord(gatewaySettings(*settings));
}

void runJson(const std::string &bytes)
{
    JsonReader reader(bytes);
    for (const std::string name : {"Service", "Slots", "Routes", "error"}) {
        reader.optionalText(name);
        reader.optionalInteger(name, 0);
        if (reader.has(name))
            reader.array(name);
    }
    if (const JsonReader whole(bytes); whole.ok())
        whole.json().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<std::string> pageSamples()
{
    std::string entries;
    for (const std::string &spec : kSpecs)
        absl::StrAppend(&entries, entries.empty() ? "" : ",", R"({"Metadata":{"Name":"n)",
                        entries.size(), R"(","Revision":7,"Finalizers":[]},"Spec":)", spec,
                        R"(,"Status":null})");
    return {absl::StrCat(R"({"Entries":[)", entries, R"(],"More":false,"StoreRevision":900})"),
            R"({"Entries":[],"More":true,"StoreRevision":900})"};
}

std::vector<std::string> changesSamples()
{
    std::string events;
    for (const std::string &spec : kSpecs)
        absl::StrAppend(&events, events.empty() ? "" : ",", R"({"Object":{"Metadata":{"Name":"n)",
                        events.size(), R"(","Revision":7},"Spec":)", spec, R"(},"Deleted":false})");
    return {
        absl::StrCat(R"({"events":[)", events, R"(],"StoreRevision":900})"),
        R"({"events":[{"Object":{"Metadata":{"Name":"n"}},"Deleted":true}],"StoreRevision":9})"};
}

MessageHeader sampleHeader()
{
    MessageHeader header;
    header.instance = "instance-1";
    header.domain = "east";
    header.relayPort = 7342;
    header.incarnation = 7;
    header.sequence = 12;
    header.states[1] = {{3, 530}, {3, 531}, kNow - absl::Milliseconds(250)};
    header.suspects = {200, 201};
    return header;
}

std::vector<std::string> datagramSamples()
{
    StreamPart part;
    part.server = 100;
    part.stream = 5;
    part.placedAt = kNow - absl::Milliseconds(320);
    part.prefillMs = 125;
    part.memoryTokens = 9000;
    part.eventGapObjectiveMs = 1000;
    part.firstEventDueMs = 4000;
    part.value = 30.5F;
    StreamPart helper = part;
    helper.server = 101;
    helper.isHelper = part.isSplit = helper.isSplit = true;
    ServerLoadEntry entry;
    entry.server = 100;
    entry.load.add(part, kNow);
    entry.load.add(helper, kNow);
    const CrashReport crash = {Fingerprint {1, 2, 3}, BackendServerId("i-1"), 7, kNow};
    std::vector<std::string> samples = {encodeReport({sampleHeader(), {part, helper}}, kNow)};
    for (const std::string &bundle :
         encodeBundle({sampleHeader(), 9, {entry}, {entry, entry}}, kNow))
        samples.push_back(bundle);
    for (const std::string &quarantine :
         encodeQuarantine({sampleHeader(), {crash}, {{Fingerprint {4}, kNow}}, {}}, kNow))
        samples.push_back(quarantine);
    for (const std::string &trials :
         encodeQuarantine({sampleHeader(), {crash}, {}, {{Fingerprint {4}, kNow}}}, kNow))
        samples.push_back(trials);
    return samples;
}

std::vector<std::string> limitSamples()
{
    LimitEnvelope envelope;
    envelope.news.isFromAggregator = true;
    envelope.news.domainInstances = 59;
    envelope.news.news = {{1, 1.5, kNow - absl::Milliseconds(250), absl::InfinitePast()},
                          {2, 0, kNow - absl::Seconds(2), kNow - absl::Seconds(1)}};
    TokenClaim claim;
    claim.id = 0x123456789abcdef0ULL;
    claim.replyAddress = "10.1.2.3:7340";
    claim.servers = {1, 2};
    claim.worth = 21.5F;
    claim.patience = absl::Milliseconds(150);
    envelope.claims = {claim};
    envelope.replies = {{claim.id, static_cast<ClaimAnswer>(1), 1, absl::Milliseconds(400), 77}};
    return encodeLimitEnvelope(envelope, kNow);
}

std::vector<std::string> usageSamples()
{
    const std::int64_t window = usageWindowAt(kNow, absl::Seconds(5));
    UsageEnvelope envelope;
    envelope.lease =
        LeaseAnnouncement {InstanceId("instance-1"), (std::int64_t {1} << 40) + 7, {1, 9}, false};
    envelope.leaseAge = absl::Milliseconds(120);
    envelope.requests = {{{InstanceId("instance-0"), 1}, true}};
    for (const std::string domain : {"east", "west"}) {
        UsageRow row;
        row.source = {InstanceId("instance-of-" + domain), 1700000000123456ULL};
        row.domain = FailureDomainId(domain);
        row.heardAt = kNow - absl::Milliseconds(250);
        row.countedThrough = window - 1;
        row.recentTotal = 5;
        row.closedTotal = 900;
        row.windows[window - 1] = {{CustomerId("customer-1"), 2}, {CustomerId("customer-2"), 3}};
        row.windows[window] = {{CustomerId("customer-1"), 300}};
        row.demand["service-1"] = {1, 200, 40000, std::uint64_t {1} << 50};
        envelope.rows.push_back(row);
    }
    return encodeUsageEnvelope(envelope, kNow);
}

std::vector<std::string> deflateSamples()
{
    const std::string page = pageSamples().front();
    return {*compressDeflate(page), *compressDeflate(std::string(1000000, 'x')),
            *compressDeflate("")};
}

std::vector<FuzzTarget> targets()
{
    return {
        {"StoredSpec", kSpecs, runSpec},
        {"StorePage", pageSamples(), runPage},
        {"StoreChanges", changesSamples(), runChanges},
        {"StoreTarget",
         {"/objects/servers?Watch=530&WaitMs=700", "/objects/config/main", "/objects/servers"},
         runStoreTarget},
        {"Datagram", datagramSamples(), runDatagram, 20000},
        {"LimitDatagram", limitSamples(), runLimitDatagram, 20000},
        {"UsageDatagram", usageSamples(), runUsageDatagram, 20000},
        {"Request",
         {"POST /a/b?q=1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 9000\r\n"
          "Key: secret\r\nLast-Event-Id: 12\r\nToken-Usage: 1460,80\r\nContent-Length: 4\r\n\r\n"
          "bodyGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
          "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
         runRequest},
        {"Response",
         {"HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nCold-Ms: 250\r\nWorker-Load: 3,2,8\r\n"
          "Server-Limit: 1.5\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 503 Full\r\nAttempt-Id: id-1\r\nRetry-After: 0.25\r\nNot-Executed: 1\r\n"
          "Confirmed-Age-Ms: 17\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
         runResponse,
         1000},
        {"Events",
         {"id: 13\ndata: a b c\n\nid: 14\ndata: d\n\n: note\n\nid: 15\ndata: e\n\n"},
         runEvents},
        {"Deflate", deflateSamples(), runDeflate},
        {"Settings",
         {"[instance]\nid = n1\nfailure_domain = d0\naddress = 10.0.0.1\ncaller_address = "
          "10.0.0.1:8080\nready_address = 10.0.0.1:8081\ninternal_ports = 7340,7355\n[store]\n"
          "address = 10.0.0.9:8200\n[keys]\nrevocation_bound = 3 s\n[retries]\nslack = 100\n"},
         runSettings},
        {"Json", kSpecs, runJson},
    };
}

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    std::uint64_t value = 0;
    return text && absl::SimpleAtoi(text, &value) ? value : fallback;
}

class DecoderFuzzTest : public testing::TestWithParam<FuzzTarget>
{ };

// Guards against bytes of other processes that end this one or that are taken for a valid message.
// FOXTAILTALLY_FUZZ_SECONDS runs each decoder for that long with seeds from FOXTAILTALLY_FUZZ_SEED
// on, and leaves the last message in build/fuzz.
TEST_P(DecoderFuzzTest, SurvivesMutatedMessages)
{
    const FuzzTarget &target = this->GetParam();
    const std::uint64_t first = numberFrom("FOXTAILTALLY_FUZZ_SEED", 1);
    const std::uint64_t seconds = numberFrom("FOXTAILTALLY_FUZZ_SECONDS", 0);
    const std::filesystem::path folder = FOXTAILTALLY_BINARY_DIR "/fuzz";
    std::filesystem::create_directories(folder);
    for (const std::string &sample : target.samples)
        target.run(sample);
    const absl::Time end = absl::Now() + absl::Seconds(static_cast<std::int64_t>(seconds));
    std::uint64_t run = 0;
    for (; seconds > 0 ? absl::Now() < end : run < static_cast<std::uint64_t>(target.runs); ++run) {
        const std::string bytes = ByteMutator(first + run).mutated(target.samples);
        if (seconds > 0)
            std::ofstream(folder / target.name, std::ios::binary) << bytes;
        target.run(bytes);
        ASSERT_FALSE(this->HasFailure()) << "seed " << first + run;
    }
    this->RecordProperty("runs", std::to_string(run));
    if (seconds > 0)
        std::cout << target.name << ": " << run << " messages\n";
}

INSTANTIATE_TEST_SUITE_P(Decoders, DecoderFuzzTest, testing::ValuesIn(targets()),
                         [](const testing::TestParamInfo<FuzzTarget> &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace foxtailtally
