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

/// The table that holds the wave rows; the key is the wave's id.
inline constexpr std::string_view kWaveTable = "wave";

[[nodiscard]] auto WaveStateName(WaveState state) -> std::string_view;

[[nodiscard]] auto WaveSelectorKindName(WaveSelectorKind kind)
    -> std::string_view;

/// Parses the text form of a selector: `all`, `zone=N`, `rack=N`, `pool=N` or
/// `vms=A,B`. Returns no value when the text has none of these forms.
[[nodiscard]] auto ParseWaveSelector(std::string_view text)
    -> std::optional<WaveSelector>;

/// Returns the text form that ParseWaveSelector accepts.
[[nodiscard]] auto FormatWaveSelector(const WaveSelector& selector)
    -> std::string;

[[nodiscard]] auto EncodeWaveRecord(const WaveRecord& record) -> std::string;

/// Decodes a wave's row. Returns a RowError when the row is malformed.
[[nodiscard]] auto DecodeWaveRecord(const Row& row)
    -> std::variant<WaveRecord, RowError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_CODEC_H_
