#include "platform/soak/soak_links.h"

namespace ferryrock::platform {

std::uint16_t SoakLinks::add(const std::string& replica, std::uint16_t target_port) {
  emulator::LinkRouteSettings settings;
  settings.name = emulator::ProcessName(replica);
  settings.listen = {"127.0.0.1", 0};
  settings.target = {"127.0.0.1", target_port};
  settings.repeated_text = kRepeatedText;
  settings.repeat_delay = kRepeatDelay;
  routes_.emplace_back(dispatcher_, cuts_, owners_, settings);
  return routes_.back().port();
}

void SoakLinks::remove(std::uint16_t port) {
  routes_.remove_if([port](const emulator::RelayRoute& route) { return route.port() == port; });
}

void SoakLinks::partition(const std::string& process) {
  cuts_.cut(emulator::ProcessName(process), emulator::CutDirection::Both);
  update();
}

void SoakLinks::heal(const std::string& process) {
  cuts_.heal(emulator::ProcessName(process));
  update();
}

void SoakLinks::update() {
  for (emulator::RelayRoute& route : routes_) {
    route.update();
  }
}

}  // namespace ferryrock::platform
