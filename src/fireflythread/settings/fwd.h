#ifndef FIREFLYTHREAD_SETTINGS_FWD_H_
#define FIREFLYTHREAD_SETTINGS_FWD_H_

namespace fireflythread {

struct DaemonSettings;
struct Endpoint;
struct RawSetting;
struct SettingKey;
struct SettingsFault;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_FWD_H_
