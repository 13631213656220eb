#include "fireflythread/platform/read_all.h"

#include <iterator>
#include <memory>
#include <utility>
#include <variant>

namespace fireflythread {
namespace {

/// One reading of a range, kept alive by the call that is on its way.
struct Reading {
  TableStore& store;
  RangeRequest request;
  Duration timeout;
  TableStore::Callback<RangePage> callback;
  RangePage rows;
  bool began = false;
};

auto ReadNextPage(const std::shared_ptr<Reading>& reading) -> void;

auto TakePage(const std::shared_ptr<Reading>& reading, RangePage page) -> void {
  RangePage& all = reading->rows;
  if (!reading->began) {
    reading->began = true;
    all.revision = page.revision;
  }
  all.rows.insert(all.rows.end(), std::make_move_iterator(page.rows.begin()),
                  std::make_move_iterator(page.rows.end()));
  if (!page.more || all.rows.empty()) {
    reading->callback(std::move(all));
    return;
  }
  // The smallest key after the last one read.
  reading->request.from = all.rows.back().key + '\x01';
  ReadNextPage(reading);
}

auto ReadNextPage(const std::shared_ptr<Reading>& reading) -> void {
  reading->store.ReadRange(
      reading->request, reading->timeout,
      [reading](std::variant<RangePage, PlatformError> result) -> void {
        if (auto* page = std::get_if<RangePage>(&result)) {
          TakePage(reading, std::move(*page));
        } else {
          reading->callback(std::get<PlatformError>(std::move(result)));
        }
      });
}

}  // namespace

auto ReadAll(TableStore& store,
             RangeRequest request,
             Duration timeout,
             TableStore::Callback<RangePage> callback) -> void {
  ReadNextPage(std::make_shared<Reading>(Reading{
      store, std::move(request), timeout, std::move(callback), {}, false}));
}

}  // namespace fireflythread
