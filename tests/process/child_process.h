#pragma once

#include <absl/time/time.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace foxtailtally {

/** A program of this repository that a test starts; it is killed at the latest with this object. */
class ChildProcess
{
public:
    /** @p output: file that gets what the program writes. */
    ChildProcess(const std::vector<std::string> &command, const std::string &output);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal to a program that has not been waited for. */
    void signal(int number) const;
    /** Waits for the end; false when the program still runs after @p limit. */
    bool waitForEnd(absl::Duration limit);
    /** Of a program that ended: its exit code, or minus the signal that ended it. */
    int exitCode() const { return this->code; }

private:
    pid_t pid = -1;
    bool hasEnded = false;
    int code = 0;
};

} // namespace foxtailtally
