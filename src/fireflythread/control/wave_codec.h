#ifndef FIREFLYTHREAD_CONTROL_WAVE_CODEC_H_
#define FIREFLYTHREAD_CONTROL_WAVE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "fireflythread/control/wave_record.h"
#include "fireflythread/fleet/row_error.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// Table of the wave rows; the key is the wave's id.
inline constexpr std::string_view kWaveTable = "wave";

[[nodiscard]] auto WaveStateName(WaveState state) -> std::string_view;

[[nodiscard]] auto WaveSelectorKindName(WaveSelectorKind kind)
    -> std::string_view;

/// Reads the text form of a selector: `all`, `zone=N`, `rack=N`, `pool=N` or
/// `vms=A,B`; no value when it is none of these.
[[nodiscard]] auto ParseWaveSelector(std::string_view text)
    -> std::optional<WaveSelector>;

/// The text form that ParseWaveSelector reads.
[[nodiscard]] auto FormatWaveSelector(const WaveSelector& selector)
    -> std::string;

[[nodiscard]] auto EncodeWaveRecord(const WaveRecord& record) -> std::string;

/// Reads a wave's row; a malformed row gives a RowError.
[[nodiscard]] auto DecodeWaveRecord(const Row& row)
    -> std::variant<WaveRecord, RowError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_CODEC_H_
