#ifndef FIREFLYTHREAD_RETRY_RECORDED_ANSWER_H_
#define FIREFLYTHREAD_RETRY_RECORDED_ANSWER_H_

#include <string>
#include <vector>

namespace fireflythread {

struct RecordedHeader {
  std::string name;
  std::string value;

  auto operator==(const RecordedHeader&) const -> bool = default;
};

/// The answer stored for a repeat of the request. A large body is kept in the
/// object store under `body_object`; `body` is empty then.
struct RecordedAnswer {
  int status = 0;
  std::vector<RecordedHeader> headers;
  std::string body;
  std::string body_object;

  auto operator==(const RecordedAnswer&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RECORDED_ANSWER_H_
