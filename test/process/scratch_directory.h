#ifndef TEST_PROCESS_SCRATCH_DIRECTORY_H_
#define TEST_PROCESS_SCRATCH_DIRECTORY_H_

#include <string>

namespace fireflythread::test {

/// A directory of a test. It stays when FIREFLYTHREAD_KEEP is set in the
/// environment, and is removed with this object otherwise.
class ScratchDirectory {
 public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory&) = delete;
  auto operator=(const ScratchDirectory&) -> ScratchDirectory& = delete;

  [[nodiscard]] auto Path(const std::string& name) const -> std::string;
  auto Write(const std::string& name, const std::string& text) const -> void;

 private:
  std::string directory;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_SCRATCH_DIRECTORY_H_
