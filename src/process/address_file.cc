#include "process/address_file.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace ferryrock::process {

void writeAddressFile(const std::string& data_folder, const ListenAddresses& addresses) {
  const nlohmann::json content{
      {"node", addresses.node.value}, {"internal", addresses.internal}, {"http", addresses.http}};
  const std::string path = data_folder + "/addresses.json";
  const std::string fresh = path + ".new";
  std::ofstream(fresh) << content.dump() << "\n";
  std::rename(fresh.c_str(), path.c_str());
}

}  // namespace ferryrock::process
