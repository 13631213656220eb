#ifndef FIREFLYTHREAD_TELEMETRY_FWD_H_
#define FIREFLYTHREAD_TELEMETRY_FWD_H_

#include <cstdint>

namespace fireflythread {

enum class LogLevel : std::uint8_t;
struct LogField;
struct LogIdentity;
struct LogRecord;
struct Span;
struct SpanContext;
struct TraceContext;
class Counter;
class Gauge;
class LatencyHistogram;
class Logger;
class MetricsRegistry;
class SpanFile;
class TraceRing;
class Tracer;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_FWD_H_
