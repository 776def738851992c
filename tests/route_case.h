#pragma once

#include <array>

namespace foxtailtally {

/** A kind of route, by what may be repeated. */
struct RouteCase
{
    const char *path;
    bool isRepeatable;
    bool isStream;
};

constexpr std::array<RouteCase, 4> kRoutes = {
    RouteCase {"/act/a", false, false}, RouteCase {"/look/a", true, false},
    RouteCase {"/once/a", false, true}, RouteCase {"/stream/a", true, true}};

} // namespace foxtailtally
