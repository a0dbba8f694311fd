#pragma once

#include "kernel/process.h"

#include <tclap/CmdLine.h>

#include <functional>
#include <iostream>
#include <string>

namespace almond::standins {

//! Parses the command line with \a command. Prints the error to standard error and returns false if it is
//! invalid.
inline bool parseCommandLine(TCLAP::CmdLine &command, int argc, char **argv)
{
    try {
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        return true;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
    }
    return false;
}

} // namespace almond::standins
