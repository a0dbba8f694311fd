#pragma once

#include "kernel/task.h"
#include "tests/scenario/topology.h"

#include <QProcess>

#include <map>
#include <memory>
#include <string>

namespace almond::scenario {

//! Exit status of a command, -1 if it timed out, and its standard output followed by its standard error.
struct command_result
{
    int status = -1;
    std::string output;
};

//! CPU time of a process since its start and its current resident set size.
struct process_usage
{
    double cpuSeconds = 0;
    std::int64_t residentKb = 0;
};

//! Starts and owns the processes of one scenario. The destructor kills those that still run, each by its
//! process id.
class process_set
{
public:
    process_set(std::string programs, std::string directory);
    ~process_set();
    process_set(const process_set &) = delete;
    process_set &operator=(const process_set &) = delete;

    //! Writes the settings file of \a spec, if it has settings, and starts the process. Throws
    //! std::runtime_error if the process does not start.
    void start(const process_spec &spec);
    //! Starts the process \a name again with the same settings and arguments.
    void restart(const std::string &name);
    //! Sends \a signal to the process \a name if it runs.
    void signal(const std::string &name, int signal);
    bool isRunning(const std::string &name) const;
    //! Waits until \a name has exited; returns false if it still runs after \a timeout.
    kernel::task<bool> awaitExit(std::string name, kernel::milliseconds timeout);
    //! Returns what \a name has written to its standard output since the last call.
    std::string output(const std::string &name);
    //! Returns the resource usage of each running process by name.
    std::map<std::string, process_usage> usageByProcess() const;
    //! Runs \a program until it exits; kills it after a timeout of 60 s.
    kernel::task<command_result> run(std::string program, std::vector<std::string> arguments);

private:
    std::string m_programs;
    std::string m_directory;
    std::map<std::string, process_spec> m_specs;
    std::map<std::string, std::unique_ptr<QProcess>> m_processes;
};

} // namespace almond::scenario
