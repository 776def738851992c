#include "platform/store_objects.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

namespace foxtailtally {
namespace {

std::string serverPage(std::int64_t entries)
{
    std::string page = R"({"Entries":[)";
    for (std::int64_t i = 0; i < entries; ++i) {
        absl::StrAppend(&page, i == 0 ? "" : ",", R"({"Metadata":{"Name":"i-7f3a)", i,
                        R"(","Revision":)", 1000 + i, R"(,"Created":900,"Finalizers":[]},)",
                        R"("Spec":{"Service":"desk","Address":"10.2.64.3:8080","Zone":"east",)",
                        R"("Version":"v1","Slots":16,"State":"ready","ColdLeftMs":0,"Sequence":)",
                        i, R"(,"born":1700000000123},"Status":{}})");
    }
    return page + R"(],"More":false,"StoreRevision":5000})";
}

/** A page of the store as it is read, decoded, and encoded for the instances that follow. */
void decodeServerPage(benchmark::State &state)
{
    const std::string body = serverPage(state.range(0));
    for (auto _ : state) {
        const Result<platform::ObjectPage> page = platform::decodePage(body);
        std::size_t slots = 0;
        for (const platform::StoredObject &object : page->objects)
            slots += static_cast<std::size_t>(platform::decodeServer(object)->slots);
        benchmark::DoNotOptimize(slots);
    }
    state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(body.size()));
}
BENCHMARK(decodeServerPage)->Arg(25)->Arg(500);

/** A page with one entry of a megabyte that is nested as deep as possible. */
void decodeNestedPage(benchmark::State &state)
{
    constexpr std::size_t kDepth = 500000;
    const std::string body =
        absl::StrCat(R"({"Entries":[{"Metadata":{"Name":"a"},"Spec":)", std::string(kDepth, '['),
                     std::string(kDepth, ']'), R"(}],"StoreRevision":5000})");
    for (auto _ : state)
        benchmark::DoNotOptimize(platform::decodePage(body));
    state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(body.size()));
}
BENCHMARK(decodeNestedPage);

void encodeServerPage(benchmark::State &state)
{
    const Result<platform::ObjectPage> page = platform::decodePage(serverPage(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(platform::encodePage(*page));
}
BENCHMARK(encodeServerPage)->Arg(500);

} // namespace
} // namespace foxtailtally
