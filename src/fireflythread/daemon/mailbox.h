#ifndef FIREFLYTHREAD_DAEMON_MAILBOX_H_
#define FIREFLYTHREAD_DAEMON_MAILBOX_H_

#include <glib.h>

#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace fireflythread {

/// The queue through which a task receives its messages. Messages are handled
/// on the main loop in the order of posting and never inside Post(), so a task
/// is not entered again while it handles a message.
template <typename Message>
class Mailbox {
 public:
  using Handler = std::function<void(Message)>;

  explicit Mailbox(Handler handler)
      : state(std::make_shared<State>(State{std::move(handler), {}, false})) {}

  ~Mailbox() { this->state->handler = nullptr; }

  Mailbox(const Mailbox&) = delete;
  auto operator=(const Mailbox&) -> Mailbox& = delete;

  auto Post(Message message) -> void {
    this->state->queue.push_back(std::move(message));
    if (this->state->scheduled) {
      return;
    }
    this->state->scheduled = true;
    g_idle_add_full(G_PRIORITY_DEFAULT, &Mailbox::Dispatch,
                    new std::shared_ptr<State>(this->state), &Mailbox::Release);
  }

 private:
  struct State {
    Handler handler;
    std::deque<Message> queue;
    bool scheduled = false;
  };

  static auto Dispatch(gpointer data) -> gboolean {
    // The copy keeps the queue alive when a handler destroys the mailbox.
    const std::shared_ptr<State> state =
        *static_cast<std::shared_ptr<State>*>(data);
    state->scheduled = false;
    std::deque<Message> batch;
    batch.swap(state->queue);
    for (Message& message : batch) {
      if (!state->handler) {
        break;
      }
      state->handler(std::move(message));
    }
    return G_SOURCE_REMOVE;
  }

  static auto Release(gpointer data) -> void {
    delete static_cast<std::shared_ptr<State>*>(data);
  }

  std::shared_ptr<State> state;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_MAILBOX_H_
