#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "fireflythread/daemon/mailbox.h"

namespace fireflythread {

// Guards against a task being entered again while it handles a message, and
// against messages out of order.
TEST_CASE("a mailbox handles messages later and in order") {
  std::vector<int> handled;
  Mailbox<int>* self = nullptr;
  Mailbox<int> mailbox([&](int value) {
    handled.push_back(value);
    if (value == 1) {
      self->Post(3);
      CHECK(handled.size() == 1);
    }
  });
  self = &mailbox;
  mailbox.Post(1);
  mailbox.Post(2);
  CHECK(handled.empty());
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK(handled == std::vector<int>{1, 2, 3});
}

// Guards against a use after free when a task goes with messages waiting.
TEST_CASE("a destroyed mailbox drops its messages") {
  int handled = 0;
  auto mailbox = std::make_unique<Mailbox<int>>([&](int) { ++handled; });
  mailbox->Post(1);
  mailbox.reset();
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK(handled == 0);
}

}  // namespace fireflythread
