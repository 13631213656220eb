#ifndef FIREFLYTHREAD_DAEMON_CONTROLLER_REPORT_CODEC_H_
#define FIREFLYTHREAD_DAEMON_CONTROLLER_REPORT_CODEC_H_

#include <optional>
#include <string>

#include "fireflythread/control/controller_report.h"

namespace fireflythread {

/// The report as JSON, for entries that are not the controller.
[[nodiscard]] auto EncodeControllerReport(const ControllerReport& report)
    -> std::string;

/// No value when the text is not a report.
[[nodiscard]] auto DecodeControllerReport(const std::string& text)
    -> std::optional<ControllerReport>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CONTROLLER_REPORT_CODEC_H_
