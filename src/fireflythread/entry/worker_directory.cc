#include "fireflythread/entry/worker_directory.h"

#include <utility>
#include <variant>

#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {
namespace {

/// Period of the reads. It is short, so that a worker gets no starts soon after
/// its registration says that it is draining.
constexpr std::chrono::milliseconds kReadPeriod{600};

}  // namespace

WorkerDirectory::WorkerDirectory(PlatformRecords& platform_records,
                                 std::function<bool()> needed,
                                 Listener on_list)
    : records(platform_records),
      is_needed(std::move(needed)),
      listener(std::move(on_list)),
      timer(kReadPeriod, [this] { this->Refresh(); }) {}

auto WorkerDirectory::Refresh() -> void {
  if (this->reading || !this->is_needed()) {
    return;
  }
  this->reading = true;
  this->records.ListWorkers(
      kStoreTimeout, this->alive.Guard([this](auto&& result) {
        this->reading = false;
        if (const auto* workers =
                std::get_if<std::vector<WorkerView>>(&result)) {
          this->listener(*workers);
        }
      }));
}

}  // namespace fireflythread
