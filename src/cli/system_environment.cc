#include <cstdlib>
#include <iostream>
#include <thread>

#include "cli/environment.h"
#include "common/random.h"

namespace ferryrock::cli {
namespace {

std::optional<std::string> processVariable(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::string uniqueText() {
  Random random(systemSeed());
  return std::to_string(random.next()) + "-" + std::to_string(random.next());
}

}  // namespace

Environment systemEnvironment() {
  return {std::cout,
          std::cerr,
          [](const http::ClientRequest& request) { return http::blockingCall(request); },
          processVariable,
          [](Duration pause) { std::this_thread::sleep_for(pause); },
          uniqueText};
}

}  // namespace ferryrock::cli
