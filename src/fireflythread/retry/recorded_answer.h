#ifndef FIREFLYTHREAD_RETRY_RECORDED_ANSWER_H_
#define FIREFLYTHREAD_RETRY_RECORDED_ANSWER_H_

#include <string>
#include <vector>

namespace fireflythread {

/// One HTTP header of a recorded answer.
struct RecordedHeader {
  std::string name;
  std::string value;

  auto operator==(const RecordedHeader&) const -> bool = default;
};

/// The answer that is stored for repeats of the request. A large body is stored
/// in the object store under the key `body_object`; `body` is empty then.
struct RecordedAnswer {
  int status = 0;
  std::vector<RecordedHeader> headers;
  std::string body;
  std::string body_object;

  auto operator==(const RecordedAnswer&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RECORDED_ANSWER_H_
