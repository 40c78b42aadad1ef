#include "emulator/link/link_settings.h"

#include "common/error.h"

namespace ferryrock::emulator {
namespace {

SocketAddress readAddress(SettingsReader& reader, const std::string& key) {
  const std::string text = reader.text(key);
  try {
    return SocketAddress::parse(text);
  } catch (const Error& error) {
    throw Error(ResultCode::SettingOutOfRange, error.detail(), reader.place(key));
  }
}

LinkRouteSettings readRoute(SettingsReader& reader) {
  LinkRouteSettings route;
  route.name = ProcessName(reader.text("name"));
  route.listen = readAddress(reader, "listen");
  route.target = readAddress(reader, "target");
  reader.finish();
  return route;
}

}  // namespace

LinkSettings readLinkSettings(SettingsReader& reader) {
  LinkSettings settings;
  settings.process_folder = reader.text("process_folder", "");
  for (SettingsReader& route : reader.sections("routes")) {
    settings.routes.push_back(readRoute(route));
  }
  return settings;
}

}  // namespace ferryrock::emulator
