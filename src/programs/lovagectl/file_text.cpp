#include "file_text.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace lovage::ctl {

result<std::string> read_file(const std::string& path) {
    std::ifstream file;
    if (path != "-") {
        file.open(path, std::ios::binary);
    }
    std::istream& source = path == "-" ? std::cin : file;
    std::ostringstream text;
    if (!source || !(text << source.rdbuf())) {
        return fail(error_kind::invalid_request, path + ": cannot be read, or is empty");
    }
    return text.str();
}

} // namespace lovage::ctl
