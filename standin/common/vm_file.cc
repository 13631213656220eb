#include "standin/common/vm_file.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

namespace fireflythread::standin {

auto ReadVmFile(const std::string& path) -> std::vector<VmEntry> {
  std::vector<VmEntry> vms;
  std::ifstream file(path);
  try {
    const nlohmann::json json = nlohmann::json::parse(file);
    for (const nlohmann::json& item : json.at("vms")) {
      vms.push_back({.id = item.at("id"),
                     .address = item.at("address"),
                     .control = item.value("control", ""),
                     .zone = item.at("zone"),
                     .rack = item.at("rack"),
                     .pool = item.value("pool", ""),
                     .cores = item.value("cores", 0),
                     .memory_mb = item.value("memory_mb", 0),
                     .accelerators = item.value("accelerators", 0)});
    }
  } catch (const nlohmann::json::exception& error) {
    fmt::print(stderr, "{} is not a VM file: {}\n", path, error.what());
    std::exit(2);
  }
  return vms;
}

auto WriteVmFile(const std::string& path, const std::vector<VmEntry>& vms)
    -> void {
  nlohmann::json list = nlohmann::json::array();
  for (const VmEntry& vm : vms) {
    list.push_back({{"id", vm.id},
                    {"address", vm.address},
                    {"control", vm.control},
                    {"zone", vm.zone},
                    {"rack", vm.rack},
                    {"pool", vm.pool},
                    {"cores", vm.cores},
                    {"memory_mb", vm.memory_mb},
                    {"accelerators", vm.accelerators}});
  }
  const std::string temporary = path + ".new";
  std::ofstream(temporary) << nlohmann::json({{"vms", list}}).dump(1) << "\n";
  std::rename(temporary.c_str(), path.c_str());
}

}  // namespace fireflythread::standin
