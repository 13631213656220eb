#include "fireflythread/settings/setting_keys.h"

#include <chrono>

namespace fireflythread {
namespace {

using namespace std::chrono_literals;
using Settings = DaemonSettings;

constexpr std::int64_t kKib = 1 << 10;
constexpr std::int64_t kMib = 1 << 20;

constexpr SettingKey kKeys[] = {
    {"entry", "id", true, SettingKey::Name{[](Settings& s) -> std::string& {
       return s.entry.id.value;
     }}},
    {"entry", "zone", true, SettingKey::Name{[](Settings& s) -> std::string& {
       return s.entry.zone.value;
     }}},
    {"entry", "caller_listen", true,
     SettingKey::Address{
         [](Settings& s) -> Endpoint& { return s.entry.caller_listen; }}},
    {"entry", "admin_listen", true,
     SettingKey::Address{
         [](Settings& s) -> Endpoint& { return s.entry.admin_listen; }}},
    {"cell", "name", false, SettingKey::Name{[](Settings& s) -> std::string& {
       return s.cell.name.value;
     }}},
    {"cell", "zones", false,
     SettingKey::ZoneList{
         [](Settings& s) -> std::set<ZoneName>& { return s.cell.zones; }}},
    {"platform", "address", true,
     SettingKey::Address{
         [](Settings& s) -> Endpoint& { return s.platform.address; }}},
    {"platform", "read_timeout", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.platform.read_timeout; }, 50ms,
         10s}},
    {"platform", "commit_timeout", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.platform.commit_timeout; },
         50ms, 30s}},
    {"platform", "vm_list_poll", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.platform.vm_list_poll; }, 50ms,
         1s}},
    {"platform", "task_poll", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.platform.task_poll; }, 100ms,
         60s}},
    {"peers", "listen", true, SettingKey::Address{[](Settings& s) -> Endpoint& {
       return s.peers.listen;
     }}},
    {"peer_security", "secret_key_file", false,
     SettingKey::Path{[](Settings& s) -> std::string& {
       return s.peer_security.secret_key_file;
     }}},
    {"peer_security", "member_keys_file", false,
     SettingKey::Path{[](Settings& s) -> std::string& {
       return s.peer_security.member_keys_file;
     }}},
    {"peer_security", "allow_plaintext_beyond_loopback", false,
     SettingKey::Flag{[](Settings& s) -> bool& {
       return s.peer_security.allow_plaintext_beyond_loopback;
     }}},
    {"admin", "token_file", true,
     SettingKey::Path{
         [](Settings& s) -> std::string& { return s.admin.token_file; }}},
    {"admin", "tls_certificate", false,
     SettingKey::Path{
         [](Settings& s) -> std::string& { return s.admin.tls_certificate; }}},
    {"admin", "tls_key", false,
     SettingKey::Path{
         [](Settings& s) -> std::string& { return s.admin.tls_key; }}},
    {"admin", "allow_plaintext_beyond_loopback", false,
     SettingKey::Flag{[](Settings& s) -> bool& {
       return s.admin.allow_plaintext_beyond_loopback;
     }}},
    {"limits", "request_body", false,
     SettingKey::SizeRange{
         [](Settings& s) -> std::int64_t& { return s.limits.request_body; },
         kKib, 64 * kMib}},
    {"limits", "request_headers", false,
     SettingKey::SizeRange{
         [](Settings& s) -> std::int64_t& { return s.limits.request_headers; },
         kKib, 256 * kKib}},
    {"limits", "response_body", false,
     SettingKey::SizeRange{
         [](Settings& s) -> std::int64_t& { return s.limits.response_body; },
         kKib, 256 * kMib}},
    {"limits", "admin_body", false,
     SettingKey::SizeRange{
         [](Settings& s) -> std::int64_t& { return s.limits.admin_body; }, kKib,
         4 * kMib}},
    {"limits", "admin_headers", false,
     SettingKey::SizeRange{
         [](Settings& s) -> std::int64_t& { return s.limits.admin_headers; },
         kKib, 256 * kKib}},
    {"limits", "caller_connections", false,
     SettingKey::CountRange{
         [](Settings& s) -> int& { return s.limits.caller_connections; }, 1,
         100000}},
    {"limits", "admin_connections", false,
     SettingKey::CountRange{
         [](Settings& s) -> int& { return s.limits.admin_connections; }, 1,
         1000}},
    {"limits", "queue_length", false,
     SettingKey::CountRange{
         [](Settings& s) -> int& { return s.limits.queue_length; }, 1, 100000}},
    {"limits", "receive_timeout", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.limits.receive_timeout; },
         100ms, 60s}},
    {"limits", "longest_request", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.limits.longest_request; }, 1s,
         30s}},
    {"limits", "graceful_stop", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.limits.graceful_stop; }, 1s,
         5min}},
    {"freshness", "limit", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.freshness.limit; }, 200ms,
         2s}},
    {"freshness", "poll", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.freshness.poll; }, 20ms, 1s}},
    {"freshness", "ping_period", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.freshness.ping_period; }, 20ms,
         1s}},
    {"lease", "duration", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.lease.duration; }, 500ms,
         60s}},
    {"lease", "renew", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.lease.renew; }, 100ms, 20s}},
    {"lease", "margin", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.lease.margin; }, 50ms, 10s}},
    {"retention", "records", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.retention.records; }, 1h,
         3650 * 24h}},
    {"retention", "history", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.retention.history; }, 1h,
         3650 * 24h}},
    {"retention", "ended", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.retention.ended; }, 1h,
         3650 * 24h}},
    {"retention", "rows_per_second", false,
     SettingKey::CountRange{
         [](Settings& s) -> int& { return s.retention.rows_per_second; }, 1,
         1000}},
    {"retention", "pass_pause", false,
     SettingKey::DurationRange{
         [](Settings& s) -> Duration& { return s.retention.pass_pause; }, 100ms,
         24h}},
    {"telemetry", "log_level", false,
     SettingKey::Level{
         [](Settings& s) -> LogLevel& { return s.telemetry.log_level; }}},
    {"telemetry", "trace_file", false,
     SettingKey::Path{
         [](Settings& s) -> std::string& { return s.telemetry.trace_file; }}},
    {"telemetry", "trace_file_limit", false,
     SettingKey::SizeRange{[](Settings& s) -> std::int64_t& {
                             return s.telemetry.trace_file_limit;
                           },
                           64 * kKib, 900 * kMib}},
    {"telemetry", "sample_ratio", false,
     SettingKey::RatioRange{
         [](Settings& s) -> double& { return s.telemetry.sample_ratio; }}},
    {"telemetry", "trace_ring", false,
     SettingKey::CountRange{
         [](Settings& s) -> int& { return s.telemetry.trace_ring; }, 1,
         100000}},
};

}  // namespace

auto SettingKeys() -> std::span<const SettingKey> {
  return kKeys;
}

}  // namespace fireflythread
