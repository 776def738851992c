#include "tests/process/child_process.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace foxtailtally {

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &output)
{
    std::vector<char *> words;
    words.reserve(command.size() + 1);
    for (const std::string &word : command)
        words.push_back(const_cast<char *>(word.c_str()));
    words.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error =
        posix_spawn(&this->pid, words.front(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + command.front());
}

ChildProcess::~ChildProcess()
{
    if (this->hasEnded)
        return;
    this->signal(SIGKILL);
    this->signal(SIGCONT);
    waitpid(this->pid, nullptr, 0);
}

void ChildProcess::signal(int number) const
{
    if (!this->hasEnded)
        ::kill(this->pid, number);
}

std::int64_t ChildProcess::peakMemory() const
{
    std::ifstream status(absl::StrCat("/proc/", this->pid, "/status"));
    std::string name;
    std::int64_t kibibytes = 0;
    while (status >> name) {
        if (name == "VmHWM:" && status >> kibibytes)
            return kibibytes * 1024;
    }
    return -1;
}

bool ChildProcess::waitForEnd(absl::Duration limit)
{
    const absl::Time end = absl::Now() + limit;
    while (!this->hasEnded) {
        int status = 0;
        if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->hasEnded = true;
            this->code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
            break;
        }
        if (absl::Now() > end)
            return false;
        absl::SleepFor(absl::Milliseconds(5));
    }
    return true;
}

std::int64_t ChildProcess::peakMemoryBytes() const
{
    constexpr std::int64_t kBytesPerKilobyte = 1024;
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string word; file >> word;) {
        std::int64_t kilobytes = 0;
        if (word == "VmHWM:" && file >> kilobytes)
            return kilobytes * kBytesPerKilobyte;
    }
    return 0;
}

} // namespace foxtailtally
