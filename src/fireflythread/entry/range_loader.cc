#include "fireflythread/entry/range_loader.h"

#include <iterator>
#include <utility>
#include <variant>

#include "fireflythread/entry/store_timeouts.h"

namespace fireflythread {

RangeLoader::RangeLoader(TableStore& table_store,
                         RangeRequest range,
                         Done on_done)
    : store(table_store),
      request(std::move(range)),
      done(std::move(on_done)),
      retry([this] { this->Start(); }) {}

auto RangeLoader::Start() -> void {
  this->store.ReadRange(
      this->request, kStoreTimeout, this->alive.Guard([this](auto&& result) {
        auto* page = std::get_if<RangePage>(&result);
        if (page == nullptr) {
          this->retry.Start(kStoreRetryDelay);
          return;
        }
        if (this->revision == 0) {
          this->revision = page->revision;
        }
        this->rows.insert(this->rows.end(),
                          std::make_move_iterator(page->rows.begin()),
                          std::make_move_iterator(page->rows.end()));
        if (page->more && !this->rows.empty()) {
          // The smallest key after the last one read.
          this->request.from = this->rows.back().key + '\x01';
          this->Start();
          return;
        }
        this->done(std::move(this->rows), this->revision);
      }));
}

}  // namespace fireflythread
