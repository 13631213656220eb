#ifndef FIREFLYTHREAD_CONFIG_TABLES_H_
#define FIREFLYTHREAD_CONFIG_TABLES_H_

namespace fireflythread {

inline constexpr const char* kConfigTable = "config";
inline constexpr const char* kHistoryTable = "history";
/// The key of the row that holds the configuration's version number.
inline constexpr const char* kConfigHeadKey = "head";

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_TABLES_H_
