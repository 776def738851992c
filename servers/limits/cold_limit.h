#pragma once

namespace foxtailtally {

/**
 * Rate at which the tokens of a cold server are issued, so that it gets at most
 * @p coldPerSecond x @p factor + @p slack requests in any second from all instances together, and
 * no more than @p coldPerSecond on average.
 */
double coldTokenRate(double coldPerSecond, double factor, double slack);

} // namespace foxtailtally
