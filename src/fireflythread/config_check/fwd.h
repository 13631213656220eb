#ifndef FIREFLYTHREAD_CONFIG_CHECK_FWD_H_
#define FIREFLYTHREAD_CONFIG_CHECK_FWD_H_

namespace fireflythread {

struct CheckedConfiguration;
struct ConfigurationPlaces;
struct ConfigurationReport;
struct Finding;
struct Findings;
struct RequestLimits;
class KeyRedaction;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CHECK_FWD_H_
