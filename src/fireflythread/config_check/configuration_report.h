#ifndef FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_REPORT_H_
#define FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/config_check/finding.h"
#include "fireflythread/jobs/configuration.h"

namespace fireflythread {

/// Limits of callers' requests, in bytes and milliseconds, as far as the
/// configuration has them.
struct RequestLimits {
  std::optional<std::int64_t> max_header_bytes;
  std::optional<std::int64_t> max_body_bytes;
  std::optional<std::int64_t> header_timeout_ms;
  std::optional<std::int64_t> idle_timeout_ms;
};

/// JSON paths of what a decoded configuration holds, in the same order. They
/// differ from the indices where the decoder left out an entry.
struct ConfigurationPlaces {
  std::vector<std::string> queues;
  std::vector<std::string> services;
  std::vector<std::string> organisations;
};

/// What a decoder of a configuration reports beside its result.
struct ConfigurationReport {
  Findings findings;
  ConfigurationPlaces places;
  RequestLimits limits;
};

/// A configuration with what a check needs to know of its text.
struct CheckedConfiguration {
  Configuration configuration;
  ConfigurationPlaces places;
  RequestLimits limits;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_REPORT_H_
