#ifndef FIREFLYTHREAD_CONFIG_CODEC_H_
#define FIREFLYTHREAD_CONFIG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/config/config_fault.h"
#include "fireflythread/config/fwd.h"

namespace fireflythread {

/// Whether fields that this version does not know are faults. Operators' edits
/// are read with kReject, so that a misspelt field is reported; rows are read
/// with kIgnore, so that entries of two versions can run at once.
enum class UnknownFields : std::uint8_t { kReject, kIgnore };

template <typename T>
using Decoded = std::variant<T, std::vector<ConfigFault>>;

/// Each reads the JSON value of the row `profile/N` and so on. `name` and
/// `version` come from the row. On failure holds every fault, with the field
/// and the values it may have.
[[nodiscard]] auto DecodeProfile(const std::string& name,
                                 std::uint64_t version,
                                 const std::string& json,
                                 UnknownFields unknown) -> Decoded<Profile>;
[[nodiscard]] auto DecodeService(const std::string& name,
                                 std::uint64_t version,
                                 const std::string& json,
                                 UnknownFields unknown) -> Decoded<ServiceSpec>;
[[nodiscard]] auto DecodePool(const std::string& name,
                              std::uint64_t version,
                              const std::string& json,
                              UnknownFields unknown) -> Decoded<PoolSpec>;
[[nodiscard]] auto DecodeTeam(const std::string& name,
                              std::uint64_t version,
                              const std::string& json,
                              UnknownFields unknown) -> Decoded<TeamQuota>;

/// The row value of an object; its name and version are not part of it.
[[nodiscard]] auto EncodeProfile(const Profile& profile) -> std::string;
[[nodiscard]] auto EncodeService(const ServiceSpec& service) -> std::string;
[[nodiscard]] auto EncodePool(const PoolSpec& pool) -> std::string;
[[nodiscard]] auto EncodeTeam(const TeamQuota& team) -> std::string;

/// A `head` row's value: the version number as a JSON number.
[[nodiscard]] auto EncodeHead(std::uint64_t version) -> std::string;
/// No value when the text is not a version number.
[[nodiscard]] auto DecodeHead(const std::string& json)
    -> std::optional<std::uint64_t>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CODEC_H_
