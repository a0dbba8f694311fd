#pragma once

#include "kernel/time.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <string_view>

namespace almond::standins {

//! Appends the events of a stand-in to a file, one JSON object per line. Each line is flushed at once, so
//! that it is in the file even if the process is killed afterwards.
class record_log
{
public:
    //! Appends to the file \a path; with an empty path, write() does nothing.
    explicit record_log(const std::string &path)
    {
        if (!path.empty())
            m_file.open(path, std::ios::app);
    }

    //! Appends the event \a name with \a fields and the current wall-clock time in ms since the epoch.
    void write(std::string_view name, nlohmann::json fields)
    {
        if (!m_file.is_open())
            return;
        fields["event"] = name;
        fields["at"] = kernel::toMillis(kernel::systemNow());
        m_file << fields.dump() << '\n' << std::flush;
    }

private:
    std::ofstream m_file;
};

} // namespace almond::standins
