#pragma once

#include <absl/time/time.h>
#include <cstdint>
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
    /** Largest resident memory of the program since its start, in bytes; negative if unknown. */
    std::int64_t peakMemory() const;
    /** Exit code of a program that has ended, or the negated number of the signal that ended it. */
    int exitCode() const { return this->code; }
    /** Largest resident memory of the program so far, in bytes; 0 if it cannot be read. */
    std::int64_t peakMemoryBytes() const;

private:
    pid_t pid = -1;
    bool hasEnded = false;
    int code = 0;
};

} // namespace foxtailtally
