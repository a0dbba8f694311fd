#pragma once

#include "settings/process_settings.h"

#include <tclap/CmdLine.h>

#include <functional>
#include <iostream>
#include <string>

namespace almond::apps {

//! Exit statuses of every program.
enum exit_status { succeeded = 0, failed = 1, badInput = 2, refused = 3, unknownOutcome = 4 };

//! Options of a daemon's command line.
struct daemon_options
{
    std::string settingsFile;
    bool checkOnly = false;
    bool describe = false;
};

//! Parses a daemon's command line. --help and --version end the process. Returns false on an invalid command
//! line, after an error message.
inline bool parseDaemonOptions(const std::string &description, int argc, char **argv, daemon_options &options)
{
    TCLAP::CmdLine command(description, ' ', ALMOND_VERSION);
    TCLAP::ValueArg<std::string> file("s", "settings", "settings file, JSON with comments", false, "", "FILE",
                                      command);
    TCLAP::SwitchArg check("", "check-settings", "check the settings and exit", command);
    TCLAP::SwitchArg describe("", "describe-settings", "list every setting and exit", command);
    try {
        command.setExceptionHandling(false);
        command.parse(argc, argv);
    } catch (const TCLAP::ExitException &exit) {
        std::exit(exit.getExitStatus());
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return false;
    }
    options = {file.getValue(), check.getValue(), describe.getValue()};
    if (options.settingsFile.empty() && !options.describe)
        std::cerr << "--settings FILE is required\n";
    return !options.settingsFile.empty() || options.describe;
}

template<typename T>
using settings_parser = settings::read_settings<T> (*)(const settings::json &);

//! Prints every setting with its default and limits.
template<typename T>
void describeSettings(settings_parser<T> parse)
{
    for (const settings::field_description &field : parse(settings::json::object()).described)
        std::cout << field.path.substr(1) << '\t' << field.fallback << '\t' << field.limits << '\n';
}

//! Reads and validates a settings file. Returns -1 if the daemon is to start with \a value, else the exit
//! status. Prints all errors in the file to standard error.
template<typename T>
int loadSettings(const daemon_options &options, settings_parser<T> parse, T &value)
{
    if (options.describe) {
        describeSettings(parse);
        return succeeded;
    }
    settings::findings found;
    const settings::json document = settings::readFile(options.settingsFile, found);
    if (found.empty()) {
        auto parsed = parse(document);
        found = std::move(parsed.found);
        value = std::move(parsed.value);
        for (settings::finding &item : found)
            item.place = options.settingsFile + ":" + item.place;
    }
    if (!found.empty()) {
        settings::print(std::cerr, found);
        return badInput;
    }
    if (!options.checkOnly)
        return -1;
    std::cout << options.settingsFile << ": ok\n";
    return succeeded;
}

} // namespace almond::apps
