#include "tests/scenario/process_set.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace almond::scenario {

using kernel::task;

namespace {

// Indexes of the fields of /proc/PID/stat, counted from the field after the command name.
constexpr std::size_t userTimeFieldIndex = 11;
constexpr std::size_t systemTimeFieldIndex = 12;
constexpr std::size_t residentPagesFieldIndex = 21;
constexpr int exitTimeoutMs = 5000;
constexpr int startTimeoutMs = 10'000;
constexpr kernel::milliseconds pollInterval{10};
constexpr kernel::milliseconds commandTimeout{60'000};

QStringList toStringList(const std::vector<std::string> &arguments)
{
    QStringList list;
    for (const std::string &argument : arguments)
        list.append(QString::fromStdString(argument));
    return list;
}

//! Reads CPU time and resident set size of the process \a pid; all zero if /proc has no complete entry.
process_usage readUsage(qint64 pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream statFile(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(statFile)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
        values.push_back(value);
    process_usage usage;
    if (values.size() <= residentPagesFieldIndex)
        return usage;
    const double ticks = std::stod(values[userTimeFieldIndex]) + std::stod(values[systemTimeFieldIndex]);
    usage.cpuSeconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    usage.residentKb = std::stoll(values[residentPagesFieldIndex]) * ::sysconf(_SC_PAGESIZE) / 1024;
    return usage;
}

} // namespace

process_set::process_set(std::string programs, std::string directory)
    : m_programs(std::move(programs))
    , m_directory(std::move(directory))
{
}

process_set::~process_set()
{
    for (const auto &[name, process] : m_processes) {
        if (process->state() == QProcess::NotRunning)
            continue;
        ::kill(static_cast<pid_t>(process->processId()), SIGCONT);
        process->kill();
    }
    for (const auto &[name, process] : m_processes)
        process->waitForFinished(exitTimeoutMs);
}

void process_set::start(const process_spec &spec)
{
    m_specs[spec.name] = spec;
    if (!spec.settings.is_null())
        std::ofstream(m_directory + "/" + spec.name + ".json") << spec.settings.dump(2) << '\n';
    auto process = std::make_unique<QProcess>();
    std::string logName = spec.name;
    std::replace(logName.begin(), logName.end(), '/', '-');
    process->setStandardErrorFile(QString::fromStdString(m_directory + "/" + logName + ".log"),
                                  QIODevice::Append);
    process->start(QString::fromStdString(m_programs + "/" + spec.program), toStringList(spec.arguments));
    if (!process->waitForStarted(startTimeoutMs))
        throw std::runtime_error("cannot start process " + spec.name);
    m_processes[spec.name] = std::move(process);
}

void process_set::restart(const std::string &name)
{
    start(process_spec(m_specs.at(name)));
}

void process_set::signal(const std::string &name, int signal)
{
    const auto &process = m_processes.at(name);
    if (process->state() == QProcess::Running)
        ::kill(static_cast<pid_t>(process->processId()), signal);
}

bool process_set::isRunning(const std::string &name) const
{
    const auto found = m_processes.find(name);
    return found != m_processes.end() && found->second->state() == QProcess::Running;
}

task<bool> process_set::awaitExit(std::string name, kernel::milliseconds timeout)
{
    const auto deadline = kernel::systemNow() + timeout;
    while (isRunning(name) && kernel::systemNow() < deadline)
        co_await kernel::sleepFor(pollInterval);
    co_return !isRunning(name);
}

std::string process_set::output(const std::string &name)
{
    return m_processes.at(name)->readAllStandardOutput().toStdString();
}

std::map<std::string, process_usage> process_set::usageByProcess() const
{
    std::map<std::string, process_usage> all;
    for (const auto &[name, process] : m_processes) {
        if (process->state() == QProcess::Running)
            all[name] = readUsage(process->processId());
    }
    return all;
}

task<command_result> process_set::run(std::string program, std::vector<std::string> arguments)
{
    QProcess process;
    process.start(QString::fromStdString(m_programs + "/" + program), toStringList(arguments));
    process.waitForStarted(startTimeoutMs);
    const auto deadline = kernel::systemNow() + commandTimeout;
    while (process.state() != QProcess::NotRunning && kernel::systemNow() < deadline)
        co_await kernel::sleepFor(pollInterval);
    command_result result;
    if (process.state() != QProcess::NotRunning) {
        process.kill();
        process.waitForFinished(exitTimeoutMs);
        co_return result;
    }
    result.status = process.exitCode();
    result.output
        = process.readAllStandardOutput().toStdString() + process.readAllStandardError().toStdString();
    co_return result;
}

} // namespace almond::scenario
