#pragma once

#include "kernel/time.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <string_view>

namespace almond::standins {

//! Appends what a stand-in saw to a file, one JSON object a line, flushed at once.
class record_log
{
public:
    //! Writes to \a path; an empty path keeps no record.
    explicit record_log(const std::string &path)
    {
        if (!path.empty())
            m_file.open(path, std::ios::app);
    }

    //! Writes the event \a name at the present wall-clock time with \a fields.
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
