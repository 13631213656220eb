#include "fireflythread/admin/admin_handler.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "fireflythread/telemetry/logger.h"
#include "test/fireflythread/admin/fake_backend.h"
#include "test/fireflythread/admin/server_fixture.h"

namespace fireflythread::admin {
namespace {

using Json = nlohmann::json;

struct Answer {
  int status = 0;
  Json body;
  AdminResponse response;
};

struct HandlerFixture {
  auto Call(AdminRequest request) -> Answer {
    if (request.authorization.empty()) {
      request.authorization = std::string("Bearer ") + test::kEditToken;
    }
    int calls = 0;
    Answer answer;
    this->handler.Handle(request, [&](AdminResponse response) {
      ++calls;
      answer.status = response.status;
      answer.body = Json::parse(response.body, nullptr, false);
      answer.response = std::move(response);
    });
    REQUIRE(calls == 1);
    return answer;
  }

  auto Get(const std::string& path) -> Answer {
    AdminRequest request;
    request.method = "GET";
    request.path = path;
    return this->Call(request);
  }

  auto Put(const std::string& path,
           const std::string& if_match,
           const std::string& body) -> Answer {
    AdminRequest request;
    request.method = "PUT";
    request.path = path;
    request.if_match = if_match;
    request.body = body;
    return this->Call(request);
  }

  auto Declare(const std::string& body) -> Answer {
    AdminRequest request;
    request.method = "POST";
    request.path = "/v1/maintenance";
    request.body = body;
    return this->Call(request);
  }

  test::FakeBackend backend;
  Logger logger{LogIdentity{}, LogLevel::kError, [](std::string_view) {},
                [] { return WallTime(); }};
  AdminHandler handler{test::Tokens(), backend, logger};
};

}  // namespace

// Guards against an edit that overwrites one the operator has not seen.
TEST_CASE("edits need the version that they start from") {
  HandlerFixture fixture;
  CHECK(fixture.Put("/v1/profiles/a", "", "{}").status == 428);
  CHECK(fixture.Put("/v1/profiles/a", "*", "{}").status == 400);
  CHECK(fixture.backend.edits.empty());
  const Answer created =
      fixture.Put("/v1/profiles/a", "0", R"({"priority":1})");
  CHECK(created.status == 200);
  CHECK(created.body["state"] == "accepted");
  const Answer stale = fixture.Put("/v1/profiles/a", "\"9\"", "{}");
  CHECK(stale.status == 409);
  CHECK(stale.body["error"]["code"] == "conflict");
  CHECK(stale.body["error"]["expected_version"] == 9);
  CHECK(stale.body["error"]["current_version"] == 11);
  CHECK(stale.body["error"]["current"]["priority"] == 1);
}

// Guards against an edit reported as in force before a majority has it.
TEST_CASE("a pending edit is told apart from an accepted one") {
  HandlerFixture fixture;
  fixture.backend.accepts = false;
  const Answer answer = fixture.Put("/v1/services/s", "0", "{}");
  CHECK(answer.status == 202);
  CHECK(answer.body["state"] == "pending");
  CHECK(answer.body["config_version"] == 11);
}

// Guards against a client that cannot send back what it read.
TEST_CASE("an object that was read can be sent back") {
  HandlerFixture fixture;
  fixture.Put("/v1/pools/p", "0", R"({"min_vms":2})");
  const Answer read = fixture.Get("/v1/pools/p");
  CHECK(read.status == 200);
  CHECK(read.body["name"] == "p");
  CHECK(read.body["status"]["vms"] == 0);
  CHECK(read.response.headers.at(0).second == "\"11\"");
  CHECK(fixture.Put("/v1/pools/p", "11", read.body.dump()).status == 200);
  CHECK(Json::parse(*fixture.backend.edits.back().body) ==
        Json{{"name", "p"}, {"min_vms", 2}});
}

// Guards against an error of the backend that looks like another.
TEST_CASE("errors of the backend have their own status") {
  HandlerFixture fixture;
  using Kind = AdminError::Kind;
  for (const auto& [kind, status, code] :
       {std::tuple(Kind::kNotFound, 404, "not_found"),
        std::tuple(Kind::kInvalid, 422, "invalid"),
        std::tuple(Kind::kUnavailable, 503, "unavailable"),
        std::tuple(Kind::kUnknownResult, 504, "unknown_result")}) {
    fixture.backend.edit_error = AdminError{kind, "why", {"headroom: -1"}};
    const Answer answer = fixture.Put("/v1/profiles/a", "0", "{}");
    CHECK(answer.status == status);
    CHECK(answer.body["error"]["code"] == code);
    CHECK(answer.body["error"]["details"][0] == "headroom: -1");
  }
}

// Guards against a wave over VMs that the operator did not name.
TEST_CASE("maintenance orders are checked as a whole") {
  HandlerFixture fixture;
  CHECK(fixture.Declare("{}").status == 422);
  const Answer faults =
      fixture.Declare(R"({"rack":["r1"],"vms":[1],"dry_run":0})");
  CHECK(faults.status == 422);
  CHECK(faults.body["error"]["details"].size() == 3);
  CHECK(fixture.backend.declared.empty());
  CHECK(fixture.Declare(R"({"racks":["r1"],"dry_run":true})").status == 200);
  CHECK(fixture.Declare(R"({"racks":["r1"]})").status == 201);
  REQUIRE(fixture.backend.declared.size() == 2);
  CHECK(fixture.backend.declared[1].selector.racks[0] == RackName("r1"));
  CHECK(fixture.backend.declared[1].who == "ada");
  CHECK_FALSE(fixture.backend.declared[1].key.empty());
}

// Guards against paths and methods that do something unexpected.
TEST_CASE("unknown paths and methods are refused") {
  HandlerFixture fixture;
  for (const char* path :
       {"/v1/", "/v1/x", "/v1/profiles/", "/v1/profiles/a/b", "/v1/status/x",
        "/v1/config", "/v1/vms/a/b", "/v1/maintenance/a/b"}) {
    INFO(path);
    CHECK(fixture.Get(path).status == 404);
  }
  AdminRequest request;
  request.method = "DELETE";
  for (const char* path :
       {"/v1/profiles", "/v1/vms/a", "/v1/maintenance", "/v1/maintenance/a",
        "/v1/maintenance/a/cancel", "/v1/status", "/healthz"}) {
    INFO(path);
    request.path = path;
    CHECK(fixture.Call(request).status == 405);
  }
  CHECK(fixture.Get("/v1/traces/xyz").status == 400);
  CHECK(fixture.Get("/v1/traces/4bf92f3577b34da6a3ce929d0e0e4736").status ==
        404);
}

// Guards against a crash, a hang or an edit of an object that is none.
TEST_CASE("arbitrary bodies and headers get one clear answer") {
  HandlerFixture fixture;
  const bool holds = rc::check([&](const std::string& body,
                                   const std::string& header,
                                   const std::string& path) {
    const Answer edit = fixture.Put("/v1/profiles/a", "0", body);
    RC_ASSERT(edit.status == 400);
    RC_ASSERT(edit.body["error"]["message"].is_string());
    RC_ASSERT(fixture.Put("/v1/profiles/a", "x" + header, "{}").status == 400);
    RC_ASSERT(fixture.Declare(body).status == 400);
    const int status = fixture.Get("/v1/" + path).status;
    const bool is_expected = status == 404 || status == 200;
    RC_ASSERT(is_expected);
  });
  CHECK(holds);
  CHECK(fixture.backend.edits.empty());
  CHECK(fixture
            .Put("/v1/profiles/a", "0",
                 std::string(100000, '[') + std::string(100000, ']'))
            .status == 400);
}

// Guards against JSON that a client cannot read when names hold odd bytes.
TEST_CASE("arbitrary JSON objects are passed on or refused") {
  HandlerFixture fixture;
  const bool holds = rc::check([&](const std::map<std::string, int>& fields) {
    Json json = Json::object();
    for (const auto& [key, value] : fields) {
      json[key] = value;
    }
    const std::string body =
        json.dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto version = std::to_string(
        fixture.backend.objects[{ObjectKind::kTeam, "t"}].version);
    const Answer answer = fixture.Put("/v1/teams/t", version, body);
    RC_ASSERT(answer.status == 200);
    RC_ASSERT(Json::accept(*fixture.backend.edits.back().body));
    RC_ASSERT(fixture.Declare(body).status == 422);
  });
  CHECK(holds);
}

}  // namespace fireflythread::admin
