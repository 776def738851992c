#include "servers/catalog/serving_config.h"

#include <gtest/gtest.h>

namespace foxtailtally {
namespace {

Route route(std::string name, std::string prefix)
{
    Route result;
    result.name = std::move(name);
    result.host = "Desk.Example";
    result.pathPrefix = std::move(prefix);
    result.targets = {{"desk", 1}};
    return result;
}

TEST(ServingConfig, ChoosesTheLongestPrefixOfTheHost)
{
    const auto config = ServingConfig::Builder()
                            .addRoute(route("short", "/a/"))
                            .addRoute(route("long", "/a/b/"))
                            .build();
    EXPECT_EQ(config->findRoute("desk.example", "/a/b/c")->name, "long");
    EXPECT_EQ(config->findRoute("desk.example:8080", "/a/c")->name, "short");
    EXPECT_EQ(config->findRoute("desk.example", "/ab/"), nullptr);
    EXPECT_EQ(config->findRoute("other.example", "/a/"), nullptr);
}

TEST(ServingConfig, FindsTheHolderOfAKeyOnly)
{
    const auto config = ServingConfig::Builder()
                            .addCustomer({CustomerId("depot"), 1}, {"k1", "k2"})
                            .addCustomer({CustomerId("audit"), 2}, {"k3"})
                            .build();
    EXPECT_EQ(config->findCustomer("k2")->id, CustomerId("depot"));
    EXPECT_EQ(config->findCustomer("k3")->id, CustomerId("audit"));
    EXPECT_EQ(config->findCustomer(""), nullptr);
    EXPECT_EQ(config->findCustomer("k"), nullptr);
}

TEST(ServingConfig, SplitsCallsByWeightAndKeepsACallAtOneService)
{
    Route split = route("split", "/");
    split.targets = {{"old", 90}, {"new", 10}, {"off", 0}};
    int toNew = 0;
    for (int i = 0; i < 2000; ++i) {
        const std::string call = "call-" + std::to_string(i);
        const std::string_view service = targetService(split, call);
        EXPECT_EQ(service, targetService(split, call));
        EXPECT_NE(service, "off");
        toNew += service == "new" ? 1 : 0;
    }
    EXPECT_GT(toNew, 100);
    EXPECT_LT(toNew, 300);
}

} // namespace
} // namespace foxtailtally
