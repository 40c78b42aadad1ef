#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>

#include "common/error.h"
#include "emulator/emulator_settings.h"
#include "emulator/engine_server.h"
#include "emulator/link_server.h"
#include "emulator/weight_store_server.h"
#include "event/dispatcher.h"

namespace {

using ferryrock::Duration;
using ferryrock::Error;
using ferryrock::Logger;
using ferryrock::ResultCode;
using ferryrock::SettingsReader;
using namespace ferryrock::emulator;

constexpr int kExitUsage = 2;
constexpr int kExitCrash = 137;
constexpr Duration kDrainCheck = std::chrono::milliseconds(50);
/// A planned stop ends open connections after this.
constexpr Duration kMaxDrain = std::chrono::seconds(30);

const Logger kLog("emulator");

cxxopts::Options commandLine() {
  cxxopts::Options options(
      "ferryrock-emulator",
      "Stand-ins for engines, the weight store and the platform list, and a relay between processes.\n"
      "Example: ferryrock-emulator engine --config engine.yaml --port 0 "
      "--address-file engine.address");
  options.positional_help("engine|engines|weight-store|platform|link");
  options.add_options()                                                                                   //
      ("role", "what to run", cxxopts::value<std::string>())                                              //
      ("config", "settings file (YAML); flags override it", cxxopts::value<std::string>())                //
      ("address", "address to listen on", cxxopts::value<std::string>())                                  //
      ("port", "port to listen on; 0: chosen by the system", cxxopts::value<std::uint16_t>())             //
      ("print-address", "write the bound address to standard output as one line")                         //
      ("address-file", "write the bound address to this file", cxxopts::value<std::string>())             //
      ("name", "engine: its name; engines: prefix of the names", cxxopts::value<std::string>())           //
      ("machine", "engine: its machine; engines: prefix of the machines", cxxopts::value<std::string>())  //
      ("zone", "engine: its zone", cxxopts::value<std::string>())                                         //
      ("data-folder", "engine: folder for incarnation and journal", cxxopts::value<std::string>())        //
      ("weight-store", "engine: URL of the weight store", cxxopts::value<std::string>())                  //
      ("time-scale", "factor on every modelled duration", cxxopts::value<double>())                       //
      ("count", "engines: how many", cxxopts::value<std::uint32_t>())                                     //
      ("version", "print the version")                                                                    //
      ("help", "print this help");
  options.parse_positional({"role"});
  return options;
}

SettingsReader openSettings(const cxxopts::ParseResult& flags) {
  if (flags.count("config") > 0) {
    return SettingsReader::fromFile(flags["config"].as<std::string>());
  }
  return SettingsReader::fromText("", "no settings file");
}

template <class Value>
void override(const cxxopts::ParseResult& flags, const char* name, Value& value) {
  if (flags.count(name) > 0) {
    value = flags[name].as<Value>();
  }
}

void overrideProcess(const cxxopts::ParseResult& flags, ProcessSettings& process) {
  override(flags, "address", process.listen.address);
  override(flags, "port", process.listen.port);
}

void overrideEngine(const cxxopts::ParseResult& flags, EngineHostSettings& host) {
  override(flags, "name", host.engine.name.value);
  override(flags, "machine", host.engine.machine.value);
  override(flags, "zone", host.engine.zone.value);
  override(flags, "data-folder", host.data_folder);
  override(flags, "weight-store", host.weight_store_url);
  override(flags, "time-scale", host.engine.time_scale);
}

/// Tells the bound address as "address:port" to whoever started the process.
void announce(const cxxopts::ParseResult& flags, const ProcessSettings& process, std::uint16_t port) {
  const std::string address = process.listen.address + ":" + std::to_string(port);
  kLog.info("Listening on " + address + ".");
  if (flags.count("print-address") > 0) {
    std::cout << address << std::endl;
  }
  if (flags.count("address-file") > 0) {
    const std::string file = flags["address-file"].as<std::string>();
    const std::string temporary = file + ".new";
    std::ofstream(temporary) << address << "\n";
    if (std::rename(temporary.c_str(), file.c_str()) != 0) {
      throw Error(ResultCode::StorageFailed, "the address file can't be written", file);
    }
  }
}

/// Runs until a planned stop: takes no new connections, then waits for the open ones to end, but not for
/// ever.
template <class Server>
void serveUntilStopped(ferryrock::event::Dispatcher& dispatcher, Server& server) {
  std::unique_ptr<ferryrock::event::Timer> drain;
  ferryrock::TimePoint drain_ends;
  drain = dispatcher.createTimer([&] {
    if (server.openConnections() == 0 || dispatcher.timeSource().monotonicTime() >= drain_ends) {
      dispatcher.exit();
    } else {
      drain->enable(kDrainCheck);
    }
  });
  const auto stop = [&] {
    kLog.info("Stopping.");
    server.stopListening();
    drain_ends = dispatcher.timeSource().monotonicTime() + kMaxDrain;
    drain->enable(Duration::zero());
  };
  dispatcher.onSignal(SIGTERM, stop);
  dispatcher.onSignal(SIGINT, stop);
  dispatcher.run();
}

void runEngine(const cxxopts::ParseResult& flags) {
  EngineProcessSettings settings = readEngineSettings(openSettings(flags));
  overrideProcess(flags, settings.process);
  overrideEngine(flags, settings.engine);
  ferryrock::configureLogging(settings.process.log);
  const auto dispatcher = ferryrock::event::createAceDispatcher();
  const auto client = ferryrock::http::createClient(*dispatcher);
  EngineServer server(*dispatcher, *client, settings.process.listen, settings.engine,
                      [] { std::_Exit(kExitCrash); });
  announce(flags, settings.process, server.port());
  serveUntilStopped(*dispatcher, server);
}

void runEngines(const cxxopts::ParseResult& flags) {
  EnginesProcessSettings settings = readEnginesSettings(openSettings(flags));
  overrideProcess(flags, settings.process);
  overrideEngine(flags, settings.like);
  override(flags, "count", settings.count);
  ferryrock::configureLogging(settings.process.log);
  const auto dispatcher = ferryrock::event::createAceDispatcher();
  const auto client = ferryrock::http::createClient(*dispatcher);
  EngineServer server(*dispatcher, *client, settings.process.listen, expandEngines(settings),
                      settings.restart_pause);
  announce(flags, settings.process, server.port());
  serveUntilStopped(*dispatcher, server);
}

void runWeightStore(const cxxopts::ParseResult& flags) {
  WeightStoreProcessSettings settings = readWeightStoreSettings(openSettings(flags));
  overrideProcess(flags, settings.process);
  override(flags, "time-scale", settings.store.time_scale);
  ferryrock::configureLogging(settings.process.log);
  const auto dispatcher = ferryrock::event::createAceDispatcher();
  WeightStoreServer server(*dispatcher, settings.process.listen, settings.store);
  announce(flags, settings.process, server.port());
  serveUntilStopped(*dispatcher, server);
}

void runPlatform(const cxxopts::ParseResult& flags) {
  PlatformProcessSettings settings = readPlatformSettings(openSettings(flags));
  overrideProcess(flags, settings.process);
  ferryrock::configureLogging(settings.process.log);
  const auto dispatcher = ferryrock::event::createAceDispatcher();
  const auto client = ferryrock::http::createClient(*dispatcher);
  PlatformServer server(*dispatcher, *client, settings.process.listen, settings.platform);
  announce(flags, settings.process, server.port());
  serveUntilStopped(*dispatcher, server);
}

void runLink(const cxxopts::ParseResult& flags) {
  LinkProcessSettings settings = readLinkProcessSettings(openSettings(flags));
  overrideProcess(flags, settings.process);
  ferryrock::configureLogging(settings.process.log);
  const auto dispatcher = ferryrock::event::createAceDispatcher();
  LinkServer server(*dispatcher, settings.process.listen, settings.link);
  announce(flags, settings.process, server.port());
  serveUntilStopped(*dispatcher, server);
}

int run(int argument_count, char** arguments) {
  cxxopts::Options options = commandLine();
  const cxxopts::ParseResult flags = options.parse(argument_count, arguments);
  if (flags.count("help") > 0) {
    std::cout << options.help() << "\n";
    return EXIT_SUCCESS;
  }
  if (flags.count("version") > 0) {
    std::cout << "ferryrock-emulator " << FERRYROCK_VERSION << "\n";
    return EXIT_SUCCESS;
  }
  const std::string role = flags.count("role") > 0 ? flags["role"].as<std::string>() : "";
  if (role == "engine") {
    runEngine(flags);
  } else if (role == "engines") {
    runEngines(flags);
  } else if (role == "weight-store") {
    runWeightStore(flags);
  } else if (role == "platform") {
    runPlatform(flags);
  } else if (role == "link") {
    runLink(flags);
  } else {
    throw Error(ResultCode::InvalidArgument, "name one of engine, engines, weight-store, platform, link");
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argument_count, char** arguments) {
  try {
    return run(argument_count, arguments);
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << Error(ResultCode::InvalidArgument, fault.what()).what() << "\n";
    return kExitUsage;
  } catch (const Error& fault) {
    std::cerr << fault.what() << "\n";
    return fault.code() == ResultCode::InvalidArgument ? kExitUsage : EXIT_FAILURE;
  } catch (const std::exception& fault) {
    std::cerr << fault.what() << "\n";
    return EXIT_FAILURE;
  }
}
