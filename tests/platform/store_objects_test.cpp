#include "platform/store_objects.h"

#include "core/hash.h"

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace foxtailtally::platform {
namespace {

constexpr std::string_view kServerSpec =
    R"({"Service":"desk","Address":"10.0.0.9:8080","Zone":"east","Version":"v1","Slots":16,)"
    R"("State":"ready","ColdLeftMs":250,"Sequence":4,"born":1700000000123})";

Result<ServerEntry> decodeSpec(std::string_view spec)
{
    return decodeServer({"i-1", 3, std::string(spec)});
}

TEST(StoreObjects, DecodesAServer)
{
    const Result<ServerEntry> entry = decodeSpec(kServerSpec);
    ASSERT_TRUE(entry.ok());
    EXPECT_EQ(entry->id, BackendServerId("i-1"));
    EXPECT_EQ(entry->incarnation, 1700000000123U);
    EXPECT_EQ(entry->sequence, 4);
    EXPECT_EQ(entry->slots, 16);
    EXPECT_FALSE(entry->leaving);
    EXPECT_EQ(entry->coldLeft, absl::Milliseconds(250));
}

// Entries of other writers describe no server; each is rejected so that it does not affect the
// valid ones.
TEST(StoreObjects, RejectsServersOfOtherWriters)
{
    const std::string good(kServerSpec);
    const auto with = [&good](const std::string &from, const std::string &to) {
        std::string spec = good;
        spec.replace(spec.find(from), from.size(), to);
        return spec;
    };
    EXPECT_FALSE(decodeSpec("").ok());
    EXPECT_FALSE(decodeSpec("\xff\xfe").ok());
    EXPECT_FALSE(decodeSpec("[]").ok());
    EXPECT_FALSE(decodeSpec("{}").ok());
    EXPECT_FALSE(decodeSpec(with("\"ready\"", "\"resting\"")).ok());
    EXPECT_FALSE(decodeSpec(with("\"ready\"", "7")).ok());
    EXPECT_FALSE(decodeSpec(with("16", "\"16\"")).ok());
    EXPECT_FALSE(decodeSpec(with("16", "0")).ok());
    EXPECT_FALSE(decodeSpec(with("\"10.0.0.9:8080\"", "null")).ok());
    EXPECT_FALSE(decodeSpec(with("1700000000123", "1.5")).ok());
}

// A server with such an address got calls that could not be sent; such numbers overflowed where
// load and times are computed, and such ids split a header.
TEST(StoreObjects, RejectsServersWithValuesOutOfRange)
{
    const auto with = [](const std::string &from, const std::string &to) {
        std::string spec(kServerSpec);
        spec.replace(spec.find(from), from.size(), to);
        return spec;
    };
    for (const std::string address :
         {"127.0.0.1:99999", ":", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65616", "127.0.0.1:-1",
          "127.0.0.1: 80", "127.0.0.1:+80", "127.0.0.1:80x", ":80", "host:80", "1.2.3:80",
          "127.0.0.1:80\\r\\nX: y", "127.0.0.1:80,10.0.0.1:80"})
        EXPECT_FALSE(decodeSpec(with("10.0.0.9:8080", address)).ok()) << address;
    for (const std::string slots : {"9223372036854775807", "18446744073709551615", "1000001", "-1"})
        EXPECT_FALSE(decodeSpec(with("16", slots)).ok()) << slots;
    for (const std::string born : {"18446744073709551615", "-1"})
        EXPECT_FALSE(decodeSpec(with("1700000000123", born)).ok()) << born;
    for (const std::string sequence : {"18446744073709551615", "-1", "\"4\"", "4.5"})
        EXPECT_FALSE(decodeSpec(with("\"Sequence\":4", "\"Sequence\":" + sequence)).ok())
            << sequence;
    EXPECT_FALSE(decodeSpec(with("250", "1e300")).ok());
    EXPECT_FALSE(decodeSpec(with("east", std::string(256, 'e'))).ok());
    EXPECT_FALSE(decodeSpec(with("desk", std::string(256, 'd'))).ok());
    for (const std::string &id :
         {std::string(), std::string(256, 'i'), std::string("i 1"), std::string("i\r\nX: y")})
        EXPECT_FALSE(decodeServer({id, 3, std::string(kServerSpec)}).ok()) << id;
    EXPECT_TRUE(decodeSpec(with("10.0.0.9:8080", "127.0.0.1:65535")).ok());
    EXPECT_TRUE(decodeServer({std::string(255, 'i'), 3, std::string(kServerSpec)}).ok());
}

TEST(StoreObjects, DecodesPagesAndChanges)
{
    const Result<ObjectPage> page =
        decodePage(R"({"Entries":[{"Metadata":{"Name":"a","Revision":5},"Spec":{"x":1}}],)"
                   R"("More":true,"StoreRevision":9})");
    ASSERT_TRUE(page.ok());
    EXPECT_TRUE(page->hasMore);
    EXPECT_EQ(page->revision, 9);
    EXPECT_EQ(page->objects.at(0).name, "a");
    const Result<ObjectChanges> changes = decodeChanges(
        R"({"events":[{"Deleted":true,"Object":{"Metadata":{"Name":"a"}}}],"StoreRevision":12})");
    ASSERT_TRUE(changes.ok());
    EXPECT_TRUE(changes->changes.at(0).isDeleted);
    EXPECT_EQ(changes->revision, 12);
    EXPECT_FALSE(decodePage("{").ok());
    EXPECT_FALSE(decodeChanges(R"({"StoreRevision":1})").ok());
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Specs of other writers, which cannot be parsed or are nested too deep. */
std::vector<std::string> oddSpecs()
{
    return {nested(100000),
            R"({"Slots":1e999})",
            R"({"Slots":NaN})",
            "-Infinity",
            "\"\xff\xfe\"",
            R"("\ud800")",
            R"({"a":1,})",
            "[1 2]",
            R"({"Slots":)" + std::string(400, '9') + "}"};
}

std::string objectJson(const std::string &name, const std::string &spec)
{
    return absl::StrCat(R"({"Metadata":{"Name":")", name, R"(","Revision":7},"Spec":)", spec, "}");
}

// One Spec that was nested 100,000 deep ended every process that read the list.
TEST(StoreObjects, ADeeplyNestedEntryDoesNotEndTheProcess)
{
    const std::string deep = nested(100000);
    const std::string odd = objectJson("odd", deep);
    EXPECT_TRUE(decodePage(R"({"Entries":[)" + odd + R"(],"StoreRevision":9})").ok());
    EXPECT_TRUE(decodeChanges(R"({"events":[{"Object":)" + odd + R"(}],"StoreRevision":9})").ok());
    EXPECT_FALSE(decodeSpec(deep).ok());
    EXPECT_FALSE(decodeConfig(deep).ok());
    EXPECT_FALSE(decodeInstance({"n1", 1, deep}).ok());
    EXPECT_FALSE(decodeCrashReport({"c1", 1, deep}).ok());
}

// One 1e999 in an entry refused the page with all good entries, on every read, so that the list
// stood still.
TEST(StoreObjects, AnOddEntryDoesNotAffectOtherEntries)
{
    const std::string good = objectJson("good", std::string(kServerSpec));
    for (const std::string &spec : oddSpecs()) {
        const std::string odd = objectJson("odd", spec);
        const std::string label = spec.substr(0, 20);
        const Result<ObjectPage> page = decodePage(
            absl::StrCat(R"({"Entries":[)", good, ",", odd, ",", good, R"(],"StoreRevision":9})"));
        ASSERT_TRUE(page.ok()) << label;
        ASSERT_EQ(page->objects.size(), 3U) << label;
        EXPECT_TRUE(decodeServer(page->objects[0]).ok() && decodeServer(page->objects[2]).ok());
        EXPECT_EQ(page->objects[1].name, "odd") << label;
        EXPECT_FALSE(decodeServer(page->objects[1]).ok()) << label;
        // Instances that follow this one get the odd entry as one without content.
        const Result<ObjectPage> relayed = decodePage(encodePage(*page));
        ASSERT_TRUE(relayed.ok()) << label;
        EXPECT_EQ(relayed->objects.size(), 3U) << label;

        const Result<ObjectChanges> changes = decodeChanges(
            absl::StrCat(R"({"events":[{"Object":)", odd, R"(,"Deleted":true},{"Object":)", good,
                         R"(,"Deleted":false}],"StoreRevision":12})"));
        ASSERT_TRUE(changes.ok()) << label;
        ASSERT_EQ(changes->changes.size(), 2U) << label;
        EXPECT_TRUE(changes->changes[0].isDeleted) << label;
        EXPECT_TRUE(decodeServer(changes->changes[1].object).ok()) << label;
        EXPECT_EQ(changes->revision, 12) << label;
        EXPECT_TRUE(decodeChanges(encodeChanges(*changes)).ok()) << label;
    }
}

TEST(StoreObjects, CountsEntriesWithoutAName)
{
    const std::string good = objectJson("good", "{}");
    const std::vector<std::string> odd = {
        "7",
        "null",
        "[]",
        "{}",
        R"({"Metadata":null})",
        R"({"Metadata":[1]})",
        R"({"Metadata":{"Revision":4}})",
        R"({"Metadata":{"Name":7}})",
        R"({"Metadata":{"Name":""}})",
        R"({"Metadata":{"Name":"a","Revision":1e999}})",
        R"({"Metadata":{"Name":"a","Revision":-1}})",
        "{\"Metadata\":{\"Name\":\"\xff\"}}",
        "{\"Metadata\":" + nested(100000) + "}",
    };
    for (const std::string &entry : odd) {
        const Result<ObjectPage> page = decodePage(
            absl::StrCat(R"({"Entries":[)", entry, ",", good, R"(],"StoreRevision":9})"));
        ASSERT_TRUE(page.ok()) << entry.substr(0, 50);
        EXPECT_EQ(page->unnamed, 1U) << entry.substr(0, 50);
        EXPECT_EQ(page->objects.size(), 1U) << entry.substr(0, 50);
        const Result<ObjectChanges> changes =
            decodeChanges(absl::StrCat(R"({"events":[{"Object":)", entry, R"(},{"Object":)", good,
                                       R"(}],"StoreRevision":12})"));
        ASSERT_TRUE(changes.ok()) << entry.substr(0, 50);
        EXPECT_EQ(changes->unnamed, 1U) << entry.substr(0, 50);
        EXPECT_EQ(changes->changes.size(), 1U) << entry.substr(0, 50);
        EXPECT_EQ(changes->revision, 12) << entry.substr(0, 50);
    }
}

// Thousands of entries of a megabyte each do not fit into the memory of a weak instance.
TEST(StoreObjects, KeepsNoContentThatIsTooLong)
{
    const std::string longText = '"' + std::string(1000000, 'x') + '"';
    const std::string entries =
        absl::StrCat(objectJson("long", longText), ",", objectJson("a", "{}"), ",",
                     objectJson(std::string(2000, 'n'), "{}"));
    const std::string page = R"({"Entries":[)" + entries + R"(],"StoreRevision":9})";
    const Result<ObjectPage> servers = decodePage(page, kServerKind);
    ASSERT_TRUE(servers.ok());
    ASSERT_EQ(servers->objects.size(), 2U);
    EXPECT_EQ(servers->unnamed, 1U);
    EXPECT_EQ(servers->objects[0].name, "long");
    EXPECT_EQ(servers->objects[0].spec, "");
    EXPECT_EQ(servers->objects[1].spec, "{}");
    EXPECT_EQ(decodePage(page, kConfigKind)->objects[0].spec, longText);
    const Result<ObjectChanges> changes = decodeChanges(
        R"({"events":[{"Object":)" + objectJson("long", longText) + R"(}],"StoreRevision":9})",
        kCrashReportKind);
    ASSERT_TRUE(changes.ok());
    EXPECT_EQ(changes->changes.at(0).object.spec, "");
}

// A page that ends early, or that is no list, must not pass for a shorter list.
TEST(StoreObjects, RefusesAPageThatIsNotWhole)
{
    const std::string page = absl::StrCat(R"({"Entries":[)", objectJson("a", "{}"),
                                          R"(],"More":false,"StoreRevision":9})");
    ASSERT_TRUE(decodePage(page).ok());
    for (std::size_t size = 0; size < page.size(); ++size)
        EXPECT_FALSE(decodePage(page.substr(0, size)).ok()) << size;
    EXPECT_FALSE(decodePage(page + "x").ok());
    EXPECT_FALSE(decodePage(R"({"Entries":null,"StoreRevision":9})").ok());
    EXPECT_FALSE(decodePage(R"({"Entries":{"a":{}},"StoreRevision":9})").ok());
    EXPECT_FALSE(decodePage(R"({"Entries":[]})").ok());
    EXPECT_FALSE(decodePage(R"({"Entries":[],"StoreRevision":-4})").ok());
    EXPECT_FALSE(decodePage(R"({"Entries":[],"StoreRevision":18446744073709551615})").ok());
    EXPECT_FALSE(decodePage(R"({"Entries":[],"More":1,"StoreRevision":9})").ok());
}

TEST(StoreObjects, DecodesTheConfiguration)
{
    const auto config = decodeConfig(
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/a/",)"
        R"("Kind":"streaming","TimeoutMs":9000,"TargetLatencyMs":300,"Priority":1,"MaxAttempts":2,)"
        R"("Public":false,"Resumable":true,"GapAimMs":250,)"
        R"("TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}]}],)"
        R"("Services":[{"Name":"s","MaxConns":9,"ColdPerS":36.0,"Engine":{"Slots":16,)"
        R"("KvCapacity":405000,"Stride":34,"step_ms":1.31,"read_per_s":154000.0,"chunk":2048}}],)"
        R"("Limits":{"MaxBodyBytes":100},"Tenants":[{"Name":"c","ApiKeys":["k"],"Priority":1}]})");
    ASSERT_TRUE(config.ok());
    const Route *route = (*config)->findRoute("h.example", "/a/b");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->kind, CallKind::Streaming);
    EXPECT_TRUE(route->isRepeatable());
    EXPECT_EQ(route->targets.size(), 2U);
    EXPECT_EQ(route->eventGapObjective, absl::Milliseconds(250));
    EXPECT_DOUBLE_EQ((*config)->findService("s")->engine.prefillTokensPerMs, 154.0);
    EXPECT_EQ((*config)->limits().bodyBytes, 100U);
    EXPECT_EQ((*config)->findCustomer("k")->id, CustomerId("c"));
}

// Limits that cannot be used leave the service without orders; if they failed the configuration,
// all callers would be refused because of them.
TEST(StoreObjects, DecodesLimitsOnTheNumberOfServers)
{
    const auto limitsOf = [](const std::string &scaling) {
        const auto config = decodeConfig(absl::StrCat(
            R"({"Version":7,"Routes":[],"Services":[{"Name":"s","Scaling":)", scaling, "}]}"));
        EXPECT_TRUE(config.ok()) << scaling;
        EXPECT_EQ((*config)->scalableServices().size(),
                  (*config)->findService("s")->scaling ? 1U : 0U);
        return (*config)->findService("s")->scaling;
    };
    const auto limits = limitsOf(R"({"MinReplicas":31,"MaxReplicas":76,"StartupS":8.5})");
    ASSERT_TRUE(limits);
    EXPECT_EQ(limits->minimum, 31);
    EXPECT_EQ(limits->maximum, 76);
    EXPECT_EQ(limits->startupTime, absl::Milliseconds(8500));
    EXPECT_TRUE(limitsOf(R"({"MinReplicas":5,"MaxReplicas":5})"));
    for (const char *const unusable :
         {"null", "7", "[]", "{}", R"({"MinReplicas":1})", R"({"MinReplicas":5,"MaxReplicas":4})",
          R"({"MinReplicas":-1,"MaxReplicas":4})", R"({"MinReplicas":1,"MaxReplicas":2.5})",
          R"({"MinReplicas":1,"MaxReplicas":"4"})", R"({"MinReplicas":1,"MaxReplicas":1e18})",
          R"({"MinReplicas":1,"MaxReplicas":4,"StartupS":-1})",
          R"({"MinReplicas":1,"MaxReplicas":4,"StartupS":"8"})",
          R"({"MinReplicas":1,"MaxReplicas":4,"StartupS":1e300})"})
        EXPECT_FALSE(limitsOf(unusable)) << unusable;
}

// Such numbers wrapped, divided by zero or lifted a limit; one configuration is refused, and the
// one before stays in force.
TEST(StoreObjects, RejectsConfigurationsWithValuesOutOfRange)
{
    const std::string good =
        R"({"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Kind":"streaming",)"
        R"("Service":"s","Priority":1,"MaxAttempts":2}],"Services":[{"Name":"s","MaxConns":9,)"
        R"("ColdPerS":36.0,"Engine":{"Slots":16,"KvCapacity":405000,"Stride":34,"chunk":2048,)"
        R"("read_per_s":154000.0,"step_ms":1.31}}],"Limits":{"MaxBodyBytes":100}})";
    ASSERT_TRUE(decodeConfig(good).ok());
    const std::vector<std::pair<std::string, std::string>> odd = {
        {R"("Version":7)", R"("Version":18446744073709551615)"},
        {R"("Priority":1)", R"("Priority":4294967296)"},
        {R"("MaxAttempts":2)", R"("MaxAttempts":4294967297)"},
        {R"("MaxAttempts":2)", R"("MaxAttempts":-1)"},
        {R"("MaxConns":9)", R"("MaxConns":-9)"},
        {R"("ColdPerS":36.0)", R"("ColdPerS":-1)"},
        {R"("Slots":16)", R"("Slots":0)"},
        {R"("KvCapacity":405000)", R"("KvCapacity":9223372036854775807)"},
        {R"("Stride":34)", R"("Stride":0)"},
        {R"("chunk":2048)", R"("chunk":0)"},
        {R"("read_per_s":154000.0)", R"("read_per_s":0)"},
        {R"("step_ms":1.31)", R"("step_ms":-1)"},
        {R"("MaxBodyBytes":100)", R"("MaxBodyBytes":-1)"},
        {R"("Services":[)", R"("Services":{"a":[)"},
    };
    for (const auto &[from, to] : odd) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        if (to.ends_with("{\"a\":["))
            text.replace(text.find(R"(],"Limits")"), 1, "]}");
        EXPECT_FALSE(decodeConfig(text).ok()) << to;
    }
}

// An instance with such an address was followed and asked for the list in vain.
TEST(StoreObjects, RejectsInstancesAndCrashReportsWithValuesOutOfRange)
{
    const auto instance = [](const std::string &name, const std::string &domain,
                             const std::string &address, const std::string &capacity) {
        return decodeInstance(
            {name, 1,
             absl::StrCat(R"({"domain":")", domain, R"(","address":")", address,
                          R"(","relay":"10.0.0.1:7342","capacity":)", capacity, "}")});
    };
    EXPECT_TRUE(instance("n1", "east", "10.0.0.1:7340", "24").ok());
    EXPECT_FALSE(instance("", "east", "10.0.0.1:7340", "24").ok());
    EXPECT_FALSE(instance(std::string(256, 'n'), "east", "10.0.0.1:7340", "24").ok());
    EXPECT_FALSE(instance("n1", std::string(256, 'e'), "10.0.0.1:7340", "24").ok());
    EXPECT_FALSE(instance("n1", "east", ":", "24").ok());
    EXPECT_FALSE(instance("n1", "east", "10.0.0.1:99999", "24").ok());
    EXPECT_FALSE(instance("n1", "east", "10.0.0.1:7340", "-1").ok());

    const auto crash = [](const std::string &server, const std::string &incarnation,
                          const std::string &endedAt) {
        return decodeCrashReport(
            {"c1", 1,
             absl::StrCat(R"({"fingerprint":")", std::string(32, '0'), R"(","server":")", server,
                          R"(","incarnation":)", incarnation, R"(,"ended_at_ms":)", endedAt, "}")});
    };
    EXPECT_TRUE(crash("s", "7", "1700000000123").ok());
    EXPECT_FALSE(crash(std::string(256, 's'), "7", "1700000000123").ok());
    EXPECT_FALSE(crash("s", "-1", "1700000000123").ok());
    EXPECT_FALSE(crash("s", "18446744073709551615", "1700000000123").ok());
    EXPECT_FALSE(crash("s", "7", "-1").ok());
    EXPECT_FALSE(crash("s", "7", "18446744073709551615").ok());
}

// A negative age made relayed data newer than the request for it.
TEST(StoreObjects, ReadsNoNegativeAgeOfRelayedData)
{
    HttpHeaders headers;
    headers.add("Confirmed-Age-Ms", "-5000");
    EXPECT_EQ(decodeRelayFreshness(headers).age, absl::ZeroDuration());
}

// A store whose responses name no era works as before, and a value that is no era is not taken for
// era 0, which would make the response look older than it is.
TEST(StoreObjects, ReadsTheEraOfTheStore)
{
    const auto era = [](std::string_view value) {
        HttpHeaders headers;
        headers.add("store-era", value);
        return decodeStoreEra(headers);
    };
    EXPECT_EQ(*decodeStoreEra({}), 0);
    EXPECT_EQ(*era("7"), 7);
    EXPECT_EQ(*era("4294967295"), kMaxStoreEra);
    for (const std::string_view value : {"", "-1", "x", "7x", "1.5", "4294967296"})
        EXPECT_FALSE(era(value).ok()) << value;
    HttpHeaders headers;
    addStoreEra(headers, 12);
    EXPECT_EQ(*decodeStoreEra(headers), 12);
}

// A call of a kind that this version does not know must not be retried.
TEST(StoreObjects, TreatsAnUnknownKindAsNonIdempotent)
{
    const auto config = decodeConfig(
        R"({"Version":1,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Kind":"new",)"
        R"("Service":"s","Resumable":true}],"Services":[]})");
    ASSERT_TRUE(config.ok());
    EXPECT_FALSE((*config)->findRoute("h", "/")->isRepeatable());
}

TEST(StoreObjects, RoundTripsACrashReport)
{
    const absl::Time diedAt = absl::FromUnixMillis(1'700'000'000'123);
    CrashReport report = {fingerprintOf("call"), BackendServerId("i-7"), 3, diedAt,
                          diedAt - absl::Milliseconds(700)};
    const auto decoded = [&report] {
        const std::string written = encodeCrashReport("name", report);
        const std::string spec = nlohmann::json::parse(written).at("Spec").dump();
        return decodeCrashReport({"name", 1, spec}).value();
    };
    EXPECT_EQ(decoded().fingerprint, report.fingerprint);
    EXPECT_EQ(decoded().server, report.server);
    EXPECT_EQ(decoded().incarnation, report.incarnation);
    EXPECT_EQ(decoded().diedAt, report.diedAt);
    EXPECT_EQ(decoded().causeSince, report.causeSince);
    EXPECT_FALSE(decoded().wasTrial);
    report.wasTrial = true;
    EXPECT_TRUE(decoded().wasTrial);
    report.causeSince = absl::InfiniteFuture();
    EXPECT_EQ(decoded().causeSince, report.diedAt);
}

TEST(StoreObjects, RoundTripsAnInstanceEntry)
{
    const InstanceRecord entry {InstanceId("n1"), FailureDomainId("east"), "10.0.0.1:7340",
                                "10.0.0.1:7342", 24.0};
    const std::string body = encodeInstance(entry);
    const std::size_t spec = body.find("\"Spec\":") + 7;
    const Result<InstanceRecord> read =
        decodeInstance({"n1", 1, body.substr(spec, body.size() - spec - 1)});
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(*read, entry);
}

} // namespace
} // namespace foxtailtally::platform
