#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Envelopes encoded by earlier builds, byte for byte. Every later build must be able to read them. New
/// recordings are added beside these; existing ones are never changed.
namespace ferryrock::wire::recorded {

/// Converts hexadecimal digits to bytes.
inline std::string bytes(std::string_view digits) {
  constexpr int kBase = 16;
  std::string text;
  for (std::size_t place = 0; place + 1 < digits.size(); place += 2) {
    text += static_cast<char>(std::stoi(std::string(digits.substr(place, 2)), nullptr, kBase));
  }
  return text;
}

/// Recorded by the last build without loads of replicas, which has no incarnation ids of replicas and no
/// quota histories.
namespace without_loads {
inline constexpr std::string_view kQuotaUse =
    "9201d93192a6656467652d31921496a6656467652d310703c39292a461636d65cd04b092a47a65746105919309"
    "a461636d65cd012c";
inline constexpr std::string_view kRouterStatus =
    "9201d93f92a6656467652d3192119ea6656467652d31a668616c6c2d61ab31302e302e302e313a38300704c303"
    "009196a36c6c6da26d31a002000000c291a27231c20b";
inline constexpr std::string_view kServiceUpdate =
    "9201d94b92a6656467652d3192129e040503c09198a27231a36c6c6dab31302e302e302e323a3830a008c30091"
    "92a26d3191a2613191a27232c20391a6636f72652d31c090c292000091a461636d65";
inline constexpr std::string_view kQuotaAnswer = "9201b192a6656467652d3192159207919309c300";
}  // namespace without_loads

/// Recorded by the first build with loads of replicas.
namespace with_loads {
inline constexpr std::string_view kQuotaUse =
    "9201d93e92a6656467652d31921498a6656467652d310703c39192a461636d65920a14cd09c49292a461636d65"
    "cd04b092a47a65746105919309a461636d65cd012c";
inline constexpr std::string_view kRouterStatus =
    "9201d94f92a6656467652d319211dc0010a6656467652d31a668616c6c2d61ab31302e302e302e313a38300704"
    "c303009196a36c6c6da26d31a002000000c291a27231c20b9194050164ccc891930506cd02bc";
inline constexpr std::string_view kServiceUpdate =
    "9201d95292a6656467652d3192129f040503c09198a27231a36c6c6dab31302e302e302e323a3830a008c30091"
    "92a26d3191a2613191a27232c20391a6636f72652d31c090c292000091a461636d6591950501643278";
inline constexpr std::string_view kQuotaAnswer = "9201b192a6656467652d3192159207919309c300";
}  // namespace with_loads

/// Recorded by the last build without traits of calls: crash records know calls alone.
namespace without_traits {
inline constexpr std::string_view kCrashRecords =
    "9201d92392a6656467652d3192169291939201029392a27231c292a27232c392a27233c2ccfac3";
/// A command of the log, not an envelope.
inline constexpr std::string_view kQuarantineCommand = "920d91939201029392a27231c292a27232c392a27233c2ccfa";
}  // namespace without_traits

}  // namespace ferryrock::wire::recorded
