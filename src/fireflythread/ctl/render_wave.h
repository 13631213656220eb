#ifndef FIREFLYTHREAD_CTL_RENDER_WAVE_H_
#define FIREFLYTHREAD_CTL_RENDER_WAVE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fireflythread::ctl {

/// A maintenance wave with its plan and what is blocked.
[[nodiscard]] auto RenderWave(const nlohmann::json& wave) -> std::string;

[[nodiscard]] auto RenderWaves(const nlohmann::json& waves) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_RENDER_WAVE_H_
