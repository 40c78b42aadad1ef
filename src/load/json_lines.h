#pragma once

#include <functional>
#include <string>

namespace ferryrock::load {

/// Calls back with each line of a file and its place, "file:line"; empty lines are left out.
/// Throws Error UnreadableFile.
void forEachLine(const std::string& file,
                 const std::function<void(const std::string& line, const std::string& place)>& callback);

}  // namespace ferryrock::load
