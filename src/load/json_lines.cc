#include "load/json_lines.h"

#include <fstream>

#include "common/error.h"

namespace ferryrock::load {

void forEachLine(const std::string& file,
                 const std::function<void(const std::string& line, const std::string& place)>& callback) {
  std::ifstream input(file);
  if (!input) {
    throw Error(ResultCode::UnreadableFile, "'" + file + "' can't be read", file);
  }
  std::string line;
  std::size_t number = 0;
  while (std::getline(input, line)) {
    ++number;
    if (!line.empty()) {
      callback(line, file + ":" + std::to_string(number));
    }
  }
}

}  // namespace ferryrock::load
