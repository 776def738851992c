#pragma once

#include <absl/time/time.h>
#include <string>
#include <sys/types.h>
#include <vector>

namespace foxtailtally {

/** A program of this repository started by a test; the destructor kills it if it still runs. */
class ChildProcess
{
public:
    /** @p output: file to which stdout and stderr of the program are appended. */
    ChildProcess(const std::vector<std::string> &command, const std::string &output);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** Sends a signal, unless waitForEnd() has already seen the program end. */
    void signal(int number) const;
    pid_t id() const { return this->pid; }
    /** Waits until the program ends; false when it still runs after @p limit. */
    bool waitForEnd(absl::Duration limit);
    /** Exit code of a program that has ended, or the negated number of the signal that ended it. */
    int exitCode() const { return this->code; }

private:
    pid_t pid = -1;
    bool hasEnded = false;
    int code = 0;
};

} // namespace foxtailtally
