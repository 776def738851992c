#include "load/report/report_file.h"

#include <fstream>
#include <iostream>

namespace foxtailtally {

bool writeReportFile(const std::string &file, std::string_view text)
{
    if (file.empty())
        return true;
    std::ofstream stream(file);
    stream << text;
    stream.close();
    if (stream)
        return true;
    std::cerr << file << ": cannot be written\n";
    return false;
}

} // namespace foxtailtally
