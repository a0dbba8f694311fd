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

// Positions in /proc/PID/stat after the command's name.
constexpr std::size_t userTimeField = 11;
constexpr std::size_t systemTimeField = 12;
constexpr std::size_t residentField = 21;
constexpr int endTimeoutMs = 5000;
constexpr int startTimeoutMs = 10'000;
constexpr kernel::milliseconds pollInterval{10};
constexpr kernel::milliseconds commandLimit{60'000};

QStringList toQt(const std::vector<std::string> &arguments)
{
    QStringList list;
    for (const std::string &argument : arguments)
        list.append(QString::fromStdString(argument));
    return list;
}

//! Reads the accounts that the kernel keeps for a process.
process_cost costOf(qint64 pid)
{
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream statFile(folder + "/stat");
    std::string text((std::istreambuf_iterator<char>(statFile)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
        values.push_back(value);
    process_cost cost;
    if (values.size() <= residentField)
        return cost;
    const double ticks = std::stod(values[userTimeField]) + std::stod(values[systemTimeField]);
    cost.cpuSeconds = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    cost.residentKb = std::stoll(values[residentField]) * ::sysconf(_SC_PAGESIZE) / 1024;
    return cost;
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
        process->waitForFinished(endTimeoutMs);
}

void process_set::start(const process_plan &plan)
{
    m_plans[plan.name] = plan;
    if (!plan.settings.is_null())
        std::ofstream(m_directory + "/" + plan.name + ".json") << plan.settings.dump(2) << '\n';
    auto process = std::make_unique<QProcess>();
    std::string logName = plan.name;
    std::replace(logName.begin(), logName.end(), '/', '-');
    process->setStandardErrorFile(QString::fromStdString(m_directory + "/" + logName + ".log"),
                                  QIODevice::Append);
    process->start(QString::fromStdString(m_programs + "/" + plan.program), toQt(plan.arguments));
    if (!process->waitForStarted(startTimeoutMs))
        throw std::runtime_error("can't start " + plan.name);
    m_processes[plan.name] = std::move(process);
}

void process_set::startAgain(const std::string &name)
{
    start(process_plan(m_plans.at(name)));
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

task<bool> process_set::awaitEnd(std::string name, kernel::milliseconds limit)
{
    const auto end = kernel::systemNow() + limit;
    while (isRunning(name) && kernel::systemNow() < end)
        co_await kernel::sleepFor(pollInterval);
    co_return !isRunning(name);
}

std::string process_set::output(const std::string &name)
{
    return m_processes.at(name)->readAllStandardOutput().toStdString();
}

std::map<std::string, process_cost> process_set::costs() const
{
    std::map<std::string, process_cost> all;
    for (const auto &[name, process] : m_processes) {
        if (process->state() == QProcess::Running)
            all[name] = costOf(process->processId());
    }
    return all;
}

task<command_result> process_set::run(std::string program, std::vector<std::string> arguments)
{
    QProcess process;
    process.start(QString::fromStdString(m_programs + "/" + program), toQt(arguments));
    process.waitForStarted(startTimeoutMs);
    const auto end = kernel::systemNow() + commandLimit;
    while (process.state() != QProcess::NotRunning && kernel::systemNow() < end)
        co_await kernel::sleepFor(pollInterval);
    command_result result;
    if (process.state() != QProcess::NotRunning) {
        process.kill();
        process.waitForFinished(endTimeoutMs);
        co_return result;
    }
    result.status = process.exitCode();
    result.output
        = process.readAllStandardOutput().toStdString() + process.readAllStandardError().toStdString();
    co_return result;
}

} // namespace almond::scenario
