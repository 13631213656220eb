#ifndef FIREFLYTHREAD_CTL_OBJECT_EDIT_H_
#define FIREFLYTHREAD_CTL_OBJECT_EDIT_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fireflythread::ctl {

/// Sets fields of a JSON object from `key=value` arguments. A value that reads
/// as JSON is taken as such, any other as text; `key=` removes the field. Gives
/// the first argument that is not of this form.
[[nodiscard]] auto ApplyFields(const std::vector<std::string>& arguments,
                               nlohmann::json& object)
    -> std::optional<std::string>;

/// The fields that differ between the operator's object and the current one.
[[nodiscard]] auto RenderConflict(const nlohmann::json& mine,
                                  const nlohmann::json& error) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_OBJECT_EDIT_H_
