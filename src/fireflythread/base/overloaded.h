#ifndef FIREFLYTHREAD_BASE_OVERLOADED_H_
#define FIREFLYTHREAD_BASE_OVERLOADED_H_

namespace fireflythread {

/// Joins lambdas into one visitor for std::visit.
template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_OVERLOADED_H_
