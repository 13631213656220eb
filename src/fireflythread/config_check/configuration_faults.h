#ifndef FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_FAULTS_H_
#define FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_FAULTS_H_

#include "fireflythread/config_check/configuration_report.h"

namespace fireflythread {

/// Adds what is wrong with a configuration that could be decoded: entries that
/// cannot take effect, contradict each other or are probably not intended.
auto FindFaults(const CheckedConfiguration& checked, Findings& findings)
    -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CHECK_CONFIGURATION_FAULTS_H_
