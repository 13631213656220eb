#ifndef FIREFLYTHREAD_CTL_JSON_TEXT_H_
#define FIREFLYTHREAD_CTL_JSON_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fireflythread::ctl {

/// A value as text for a table: strings without quotes, null as "-". A missing
/// key is null.
[[nodiscard]] auto Text(const nlohmann::json& json, const std::string& key)
    -> std::string;
[[nodiscard]] auto Text(const nlohmann::json& value) -> std::string;

/// A number, 0 when it is missing or none.
[[nodiscard]] auto Number(const nlohmann::json& json, const std::string& key)
    -> double;

/// A list, empty when it is missing or none.
[[nodiscard]] auto List(const nlohmann::json& json, const std::string& key)
    -> const nlohmann::json&;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_JSON_TEXT_H_
