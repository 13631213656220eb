#ifndef FIREFLYTHREAD_ADMIN_ENCODE_STATUS_H_
#define FIREFLYTHREAD_ADMIN_ENCODE_STATUS_H_

#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "fireflythread/admin/fwd.h"

namespace fireflythread::admin {

[[nodiscard]] auto Encode(const ConfigObject& object) -> nlohmann::json;
[[nodiscard]] auto Encode(const PoolStatus& pool) -> nlohmann::json;
[[nodiscard]] auto Encode(const VmStatus& vm) -> nlohmann::json;
[[nodiscard]] auto Encode(const WaveStatus& wave) -> nlohmann::json;
[[nodiscard]] auto Encode(const FleetStatus& status) -> nlohmann::json;
[[nodiscard]] auto Encode(const ConfigVersionStatus& status) -> nlohmann::json;
[[nodiscard]] auto Encode(const HistoryEntry& entry) -> nlohmann::json;
[[nodiscard]] auto Encode(const Readiness& readiness) -> nlohmann::json;

/// The configuration of a pool with its state now under "status".
[[nodiscard]] auto Encode(const ConfigObject& pool, const PoolStatus& status)
    -> nlohmann::json;

/// `{"KEY": [...]}`.
template <typename T>
[[nodiscard]] auto EncodeList(const char* key, const std::vector<T>& items)
    -> nlohmann::json;

extern template auto EncodeList(const char* key,
                                const std::vector<ConfigObject>& items)
    -> nlohmann::json;
extern template auto EncodeList(const char* key,
                                const std::vector<VmStatus>& items)
    -> nlohmann::json;
extern template auto EncodeList(const char* key,
                                const std::vector<WaveStatus>& items)
    -> nlohmann::json;
extern template auto EncodeList(const char* key,
                                const std::vector<HistoryEntry>& items)
    -> nlohmann::json;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ENCODE_STATUS_H_
