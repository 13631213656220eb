#ifndef FIREFLYTHREAD_CTL_HTTP_API_H_
#define FIREFLYTHREAD_CTL_HTTP_API_H_

#include <memory>
#include <string>

#include "fireflythread/ctl/api.h"

namespace fireflythread::ctl {

/// Reaches one entry by HTTP or HTTPS. Blocks; for a program that does one
/// thing at a time.
class HttpApi : public Api {
 public:
  /// `server` is "http://IP:port" or "https://IP:port". `ca_file` names the PEM
  /// certificates that are trusted; empty means the system's.
  HttpApi(std::string server, std::string token, const std::string& ca_file);
  ~HttpApi() override;
  HttpApi(const HttpApi&) = delete;
  auto operator=(const HttpApi&) -> HttpApi& = delete;

  auto Call(const ApiRequest& request) -> ApiReply override;
  auto Sleep(Duration duration) -> void override;

 private:
  struct Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_HTTP_API_H_
