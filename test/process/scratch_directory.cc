#include "test/process/scratch_directory.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace fireflythread::test {

ScratchDirectory::ScratchDirectory() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "fireflythread-XXXXXX")
          .string();
  this->directory = mkdtemp(pattern.data());
}

ScratchDirectory::~ScratchDirectory() {
  if (std::getenv("FIREFLYTHREAD_KEEP") != nullptr) {
    std::fprintf(stderr, "kept %s\n", this->directory.c_str());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->directory, ignored);
}

auto ScratchDirectory::Path(const std::string& name) const -> std::string {
  return this->directory + "/" + name;
}

auto ScratchDirectory::Write(const std::string& name,
                             const std::string& text) const -> void {
  std::ofstream(this->Path(name)) << text;
}

}  // namespace fireflythread::test
