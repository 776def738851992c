#include "servers/configuration/roster_plan.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>

namespace foxtailtally {

// Guards against a roster that drops a member the platform has not reported as gone for the whole
// grace period, keeps one that is gone, or lowers an incarnation. A dropped member's shares go to
// others, so a wrong drop breaks the servers' limits.
TEST(RosterPlanTest, DropsOnlyMembersGoneForTheGracePeriod)
{
    constexpr absl::Duration kGrace = absl::Seconds(30);
    EXPECT_TRUE(rc::check("roster", [=] {
        RosterPlan plan(kGrace);
        RosterDocument roster;
        absl::Time now = absl::FromUnixSeconds(1000);
        const absl::Time firstListAt = now;
        roster.members = {{InstanceId("old"), 1}};
        std::map<std::string, absl::Time> missingSince = {{"old", firstListAt}};
        // Bits 0 to 3: listed instances; bits 4 and 5: time since the last list.
        for (const std::uint8_t step : *rc::gen::arbitrary<std::vector<std::uint8_t>>()) {
            std::vector<ListedInstance> listed;
            for (int index = 0; index < 4; ++index) {
                const std::string id = index == 3 ? "old" : "entry-" + std::to_string(index);
                if ((step >> index) % 2 != 0) {
                    listed.push_back({InstanceId(id), static_cast<Incarnation>(step) / 64 + 1});
                    missingSince.erase(id);
                } else {
                    missingSince.emplace(id, now);
                }
            }
            plan.onInstanceList(listed, now);
            const auto next = plan.next(roster, {0, "writer", "id"}, now, now);
            const RosterDocument result = next.value_or(roster);
            RC_ASSERT(!next || next->number == roster.number + 1);
            RC_ASSERT(!plan.next(result, {0, "writer", "id"}, now, now).has_value());
            std::map<std::string, Incarnation> members;
            for (const auto &member : result.members)
                members[member.id.str()] = member.incarnation;
            for (const ListedInstance &instance : listed)
                RC_ASSERT(members.contains(instance.id.str()));
            for (const auto &member : roster.members) {
                const auto since = missingSince.find(member.id.str());
                const bool isGone = since != missingSince.end() && now - since->second >= kGrace;
                RC_ASSERT(members.contains(member.id.str()) == !isGone);
                RC_ASSERT(isGone || members[member.id.str()] >= member.incarnation);
            }
            DocumentProblems problems;
            roster = result;
            if (next) {
                const auto parsed = RosterDocument::parse(next->serialize(), problems);
                RC_ASSERT(parsed.ok());
                RC_ASSERT(parsed->members == next->members);
            }
            // A gap of 40 s exceeds the grace period, so the grace period of a missing member
            // restarts.
            const int pause = (step >> 4) % 4;
            now += absl::Seconds(pause == 3 ? 40 : 10 * pause);
            if (pause == 3)
                for (auto &[id, since] : missingSince)
                    since = now;
        }
    }));
    EXPECT_TRUE(writesRoster(InstanceId("a"), std::vector {InstanceId("b"), InstanceId("a")}));
    EXPECT_FALSE(writesRoster(InstanceId("b"), std::vector {InstanceId("b"), InstanceId("a")}));
    EXPECT_FALSE(RosterPlan()
                     .next({}, {0, "w", "i"}, absl::FromUnixSeconds(1), absl::FromUnixSeconds(1))
                     .has_value());
}

} // namespace foxtailtally
