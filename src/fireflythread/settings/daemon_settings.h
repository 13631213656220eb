#ifndef FIREFLYTHREAD_SETTINGS_DAEMON_SETTINGS_H_
#define FIREFLYTHREAD_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/retention/retention_limits.h"
#include "fireflythread/settings/endpoint.h"
#include "fireflythread/telemetry/log_level.h"

namespace fireflythread {

/// Everything that fireflythreadd reads from its settings file. The initial
/// values are the defaults; docs/settings.md has the meaning, unit and range
/// of each field. Sizes are in bytes.
struct DaemonSettings {
  struct Entry {
    EntryId id;
    ZoneName zone;
    Endpoint caller_listen;
    Endpoint admin_listen;
  };

  /// The cell that this entry is a member of.
  struct Cell {
    CellName name{"main"};
    /// The zones whose VMs the cell manages; empty means all zones.
    std::set<ZoneName> zones;
  };

  struct Platform {
    Endpoint address;
    Duration read_timeout = std::chrono::seconds(1);
    Duration commit_timeout = std::chrono::seconds(2);
    Duration vm_list_poll = std::chrono::milliseconds(500);
    Duration task_poll = std::chrono::seconds(1);
  };

  struct Peers {
    Endpoint listen;
    /// Every member of the cell, this entry included.
    std::map<EntryId, Endpoint> members;
  };

  /// CURVE keys of the links between entries; both paths empty means
  /// plaintext.
  struct PeerSecurity {
    std::string secret_key_file;
    std::string member_keys_file;
    bool allow_plaintext_beyond_loopback = false;
  };

  struct Admin {
    std::string token_file;
    std::string tls_certificate;
    std::string tls_key;
    bool allow_plaintext_beyond_loopback = false;
  };

  struct Limits {
    std::int64_t request_body = 1 << 20;
    std::int64_t request_headers = 16 << 10;
    std::int64_t response_body = 16 << 20;
    std::int64_t admin_body = 256 << 10;
    std::int64_t admin_headers = 16 << 10;
    int caller_connections = 2000;
    int admin_connections = 64;
    int queue_length = 512;
    Duration receive_timeout = std::chrono::seconds(10);
    Duration longest_request = std::chrono::seconds(30);
    Duration graceful_stop = std::chrono::seconds(35);
  };

  struct Freshness {
    Duration limit = std::chrono::seconds(2);
    Duration poll = std::chrono::milliseconds(500);
    Duration ping_period = std::chrono::milliseconds(250);
  };

  struct Lease {
    Duration duration = std::chrono::seconds(3);
    Duration renew = std::chrono::seconds(1);
    Duration margin = std::chrono::milliseconds(500);
  };

  struct Telemetry {
    LogLevel log_level = LogLevel::kInfo;
    /// Empty writes no span file.
    std::string trace_file;
    std::int64_t trace_file_limit = 64 << 20;
    double sample_ratio = 0.01;
    int trace_ring = 2000;
  };

  Entry entry;
  Cell cell;
  Platform platform;
  Peers peers;
  PeerSecurity peer_security;
  Admin admin;
  Limits limits;
  Freshness freshness;
  Lease lease;
  RetentionLimits retention;
  Telemetry telemetry;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_DAEMON_SETTINGS_H_
