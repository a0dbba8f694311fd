#include "kernel/process.h"
#include "settings/object_reader.h"
#include "tests/scenario/scenario_runner.h"

#include <tclap/CmdLine.h>

#include <filesystem>
#include <iostream>

//! Runs one scenario file against real processes on loopback.
int main(int argc, char **argv)
{
    using namespace almond;
    TCLAP::CmdLine command("Runs a scenario file", ' ', ALMOND_VERSION);
    TCLAP::ValueArg<std::string> programs("", "programs", "directory with the program binaries", true, "",
                                          "DIR", command);
    TCLAP::ValueArg<std::string> directory(
        "", "directory", "directory for settings files, logs and event records; an existing one is deleted",
        true, "", "DIR", command);
    TCLAP::ValueArg<std::uint16_t> port("", "first-port", "first of the consecutive ports to use", false,
                                        21000, "N", command);
    TCLAP::ValueArg<std::string> usageFile("", "costs", "file for the resource usage of the processes", false,
                                           "", "FILE", command);
    TCLAP::SwitchArg verbose("v", "verbose", "print each step", command);
    TCLAP::UnlabeledValueArg<std::string> file("scenario", "scenario file", true, "", "FILE", command);
    command.parse(argc, argv);
    settings::findings found;
    const nlohmann::json document = settings::readFile(file.getValue(), found);
    if (!found.empty()) {
        settings::print(std::cerr, found);
        return 2;
    }
    std::filesystem::remove_all(directory.getValue());
    return kernel::runOnce(argc, argv, [&](boost::asio::io_context &context) -> kernel::task<int> {
        scenario::runner_options options{programs.getValue(), directory.getValue(), port.getValue(),
                                         verbose.getValue(), usageFile.getValue()};
        scenario::scenario_runner runner(context, options, document);
        co_return co_await runner.run();
    });
}
