#ifndef FIREFLYTHREAD_CTL_RENDER_STATUS_H_
#define FIREFLYTHREAD_CTL_RENDER_STATUS_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fireflythread::ctl {

/// The overview of the fleet on one screen.
[[nodiscard]] auto RenderStatus(const nlohmann::json& status) -> std::string;

/// Causes and the VMs that each of them blocks, at most `max_lines`.
[[nodiscard]] auto RenderBlocked(const nlohmann::json& blocked,
                                 std::size_t max_lines) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_RENDER_STATUS_H_
