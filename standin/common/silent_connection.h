#ifndef STANDIN_COMMON_SILENT_CONNECTION_H_
#define STANDIN_COMMON_SILENT_CONNECTION_H_

#include <gio/gio.h>

#include <string>

namespace fireflythread::standin {

/// Takes over a connection (and the reference) from the HTTP server, writes
/// `bytes` to it, and closes it or keeps it open without a further answer until
/// the client closes it.
auto KeepSilentConnection(GIOStream* stream,
                          const std::string& bytes,
                          bool close) -> void;

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_SILENT_CONNECTION_H_
