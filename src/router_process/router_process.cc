#include "router_process/router_process.h"

#include <csignal>
#include <utility>

#include "common/error.h"
#include "common/logging.h"
#include "event/dispatcher.h"
#include "router_process/process_settings.h"
#include "router_process/router_shell.h"

namespace ferryrock::router_process {
namespace {

const Logger& logger() {
  static const Logger instance("router");
  return instance;
}

RouterProcessSettings readSettings(const std::string& config_file) {
  SettingsReader reader = SettingsReader::fromFile(config_file);
  return readRouterSettings(reader);
}

/// Takes the control members, their keys and the own keys from the settings file again, so that keys change
/// without a stop.
void reloadControl(RouterShell& shell, const std::string& config_file) {
  try {
    shell.replaceControl(readSettings(config_file));
    logger().info("The control members and their keys were read again.");
  } catch (const Error& fault) {
    logger().error(std::string("The settings weren't read again: ") + fault.what());
  }
}

}  // namespace

int runRouter(const std::string& config_file) {
  RouterProcessSettings settings = readSettings(config_file);
  configureLogging(settings.log);
  const NodeName name = settings.node.node;
  const auto dispatcher = event::createAceDispatcher();
  RouterShell shell(*dispatcher, std::move(settings));
  bool stopping = false;
  const auto stop = [&] {
    if (std::exchange(stopping, true)) {
      dispatcher->exit();  // a second signal doesn't wait
      return;
    }
    shell.beginStop([&] { dispatcher->exit(); });
  };
  dispatcher->onSignal(SIGTERM, stop);
  dispatcher->onSignal(SIGINT, stop);
  dispatcher->onSignal(SIGHUP, [&] { reloadControl(shell, config_file); });
  logger().info("Router " + name.value + " runs at " + shell.httpUrl() + ".");
  dispatcher->run();
  logger().info("Router " + name.value + " has stopped.");
  return 0;
}

}  // namespace ferryrock::router_process
