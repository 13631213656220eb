#ifndef FIREFLYTHREAD_BASE_OVERLOADED_H_
#define FIREFLYTHREAD_BASE_OVERLOADED_H_

namespace fireflythread {

/// Joins lambdas into one visitor for std::visit.
template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

// clang 14 does not deduce the arguments of an aggregate by itself.
template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BASE_OVERLOADED_H_
