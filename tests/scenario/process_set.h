#pragma once

#include "kernel/task.h"
#include "tests/scenario/topology.h"

#include <QProcess>

#include <map>
#include <memory>
#include <string>

namespace almond::scenario {

//! What a finished command printed and returned.
struct command_result
{
    int status = -1;
    std::string output;
};

//! What a process has used since it started.
struct process_cost
{
    double cpuSeconds = 0;
    std::int64_t residentKb = 0;
};

//! The processes of one scenario. Ends all of them, each by its own id, when it is destroyed.
class process_set
{
public:
    process_set(std::string programs, std::string directory);
    ~process_set();
    process_set(const process_set &) = delete;
    process_set &operator=(const process_set &) = delete;

    void start(const process_plan &plan);
    //! Starts a process that ran before once more.
    void startAgain(const std::string &name);
    //! Sends \a signal to the process \a name.
    void signal(const std::string &name, int signal);
    bool isRunning(const std::string &name) const;
    //! Awaits the end of \a name; false when it has not ended after \a limit.
    kernel::task<bool> awaitEnd(std::string name, kernel::milliseconds limit);
    //! What \a name has printed so far.
    std::string output(const std::string &name);
    //! What each running process has used so far, by name.
    std::map<std::string, process_cost> costs() const;
    //! Runs a command to its end.
    kernel::task<command_result> run(std::string program, std::vector<std::string> arguments);

private:
    std::string m_programs;
    std::string m_directory;
    std::map<std::string, process_plan> m_plans;
    std::map<std::string, std::unique_ptr<QProcess>> m_processes;
};

} // namespace almond::scenario
