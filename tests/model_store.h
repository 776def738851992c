#pragma once

#include "core/random.h"
#include "servers/configuration/store_call.h"

#include <absl/time/time.h>
#include <map>
#include <string>
#include <vector>

namespace foxtailtally {

/** Model of the platform's object API with the faults that its clients must tolerate. */
class ModelStore
{
public:
    /** Answer for one caller; @ref caller is the number given to submit(). */
    struct Delivery
    {
        std::uint64_t caller = 0;
        StoreReply reply;
    };

    struct Object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    /** Probabilities in percent, per call. */
    struct Faults
    {
        std::uint64_t unavailable = 0;
        /** The call takes effect, and its answer is lost. */
        std::uint64_t lostAfter = 0;
        std::uint64_t lostBefore = 0;
        /** The call takes effect only after the caller's time-out. */
        std::uint64_t lostLate = 0;
    };

    bool isUp = true;
    Faults faults;
    absl::Duration latency = absl::Milliseconds(3);
    absl::Duration timeout = absl::Milliseconds(300);
    std::map<std::string, Object> objects;
    std::uint64_t writes = 0;
    std::uint64_t calls = 0;

    void submit(std::uint64_t caller, StoreCall call, absl::Time now, Random &random);
    /** Executes the calls that are due and returns the answers that are due. */
    std::vector<Delivery> run(absl::Time now);
    /** Time of the next effect or answer. */
    absl::Time nextAt() const;

private:
    StoreReply execute(const StoreCall &call);

    struct Event
    {
        std::uint64_t caller = 0;
        StoreCall call;
        bool takesEffect = true;
        bool answers = true;
        StoreOutcome failure = StoreOutcome::Ok;
    };

    std::multimap<absl::Time, Event> events;
    std::uint64_t lastVersion = 0;
};

} // namespace foxtailtally
