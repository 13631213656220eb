#ifndef FIREFLYTHREAD_CTL_RENDER_TRACE_H_
#define FIREFLYTHREAD_CTL_RENDER_TRACE_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace fireflythread::ctl {

/// The spans of a trace as a tree, each with its begin after the trace's begin
/// and its duration in milliseconds.
[[nodiscard]] auto RenderTrace(const nlohmann::json& trace) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_RENDER_TRACE_H_
