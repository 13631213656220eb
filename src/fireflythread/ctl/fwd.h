#ifndef FIREFLYTHREAD_CTL_FWD_H_
#define FIREFLYTHREAD_CTL_FWD_H_

namespace fireflythread::ctl {

enum class ExitCode : int;
struct ApiReply;
struct ApiRequest;
struct Options;
struct Output;
struct Verb;
class Api;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_FWD_H_
