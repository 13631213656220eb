#include "fireflythread/retry/idempotency_record.h"

#include <nlohmann/json.hpp>

namespace fireflythread {

namespace {

using Json = nlohmann::json;

auto StateName(RecordState state) -> const char* {
  switch (state) {
    case RecordState::kClaimed:
      return "claimed";
    case RecordState::kAnswered:
      return "answered";
    case RecordState::kUnknown:
      return "unknown";
    case RecordState::kNotRun:
      break;
  }
  return "not-run";
}

auto ParseState(const std::string& name) -> std::optional<RecordState> {
  for (const RecordState each : {RecordState::kClaimed, RecordState::kAnswered,
                                 RecordState::kUnknown, RecordState::kNotRun}) {
    if (name == StateName(each)) {
      return each;
    }
  }
  return std::nullopt;
}

/// Encodes bytes for JSON, whose strings hold characters: each byte becomes the
/// character with the same code point, in UTF-8.
auto BytesToText(std::string_view bytes) -> std::string {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text.push_back(c);
    } else {
      text.push_back(static_cast<char>(0xc0 | (byte >> 6U)));
      text.push_back(static_cast<char>(0x80 | (byte & 0x3fU)));
    }
  }
  return text;
}

/// Reverses BytesToText().
auto TextToBytes(std::string_view text) -> std::string {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x80 || i + 1 == text.size()) {
      bytes.push_back(text[i]);
    } else {
      const auto next = static_cast<unsigned char>(text[++i]);
      bytes.push_back(static_cast<char>((lead << 6U) | (next & 0x3fU)));
    }
  }
  return bytes;
}

auto EncodeAnswer(const RecordedAnswer& answer) -> Json {
  Json headers = Json::array();
  for (const RecordedHeader& header : answer.headers) {
    headers.push_back({header.name, BytesToText(header.value)});
  }
  return {{"status", answer.status},
          {"headers", std::move(headers)},
          {"body", BytesToText(answer.body)},
          {"body_object", answer.body_object}};
}

auto DecodeAnswer(const Json& json) -> RecordedAnswer {
  RecordedAnswer answer;
  answer.status = json.at("status").get<int>();
  for (const Json& header : json.at("headers")) {
    answer.headers.push_back(
        {header.at(0).get<std::string>(),
         TextToBytes(header.at(1).get_ref<const std::string&>())});
  }
  answer.body = TextToBytes(json.at("body").get_ref<const std::string&>());
  answer.body_object = json.at("body_object").get<std::string>();
  return answer;
}

auto DecodeFields(const Json& json) -> std::optional<IdempotencyRecord> {
  IdempotencyRecord record;
  record.nonce = json.at("nonce").get<std::string>();
  record.entry = EntryId(json.at("entry").get<std::string>());
  record.incarnation = json.value("incarnation", std::uint64_t{0});
  record.fingerprint = json.at("fingerprint").get<std::string>();
  record.claimed_at = WallTime(
      std::chrono::milliseconds(json.at("claimed_at_ms").get<std::int64_t>()));
  const auto state = ParseState(json.at("state").get<std::string>());
  if (!state) {
    return std::nullopt;
  }
  record.state = *state;
  if (json.contains("answer")) {
    record.answer = DecodeAnswer(json.at("answer"));
  }
  return record;
}

}  // namespace

auto EncodeRecord(const IdempotencyRecord& record) -> std::string {
  Json json = {
      {"nonce", record.nonce},
      {"entry", record.entry.value},
      {"incarnation", record.incarnation},
      {"state", StateName(record.state)},
      {"fingerprint", record.fingerprint},
      {"claimed_at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            record.claimed_at.time_since_epoch())
                            .count()}};
  if (record.answer) {
    json["answer"] = EncodeAnswer(*record.answer);
  }
  return json.dump();
}

auto DecodeRecord(std::string_view text) -> std::optional<IdempotencyRecord> {
  const Json json = Json::parse(text, nullptr, false);
  try {
    return DecodeFields(json);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace fireflythread
