#include "control/tally_handler.hpp"
#include "tests/control/control_plane.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
bool isRefused(string const& body) {
  try {
    readAddition(body);
    return false;
  } catch (Error const& error) {
    return error.code() == ErrorCode::badAddition && error.status() == 400;
  }
}
}  // namespace

TEST_GROUP(tallyCalls){};

TEST(tallyCalls, aValidAdditionIsParsed) {
  TallyAddition const addition = readAddition(R"({"serverId":"5c0e7a21d94b36f8","changedBy":-4})");
  STRCMP_EQUAL("5c0e7a21d94b36f8", addition.serverId.c_str());
  LONGS_EQUAL(-4, addition.changedBy);
}
TEST(tallyCalls, badAdditionsAreRefused) {
  CHECK(isRefused(""));
  CHECK(isRefused("[]"));
  CHECK(isRefused("{\"serverId\":\"a\""));
  CHECK(isRefused(R"({"changedBy":4})"));
  CHECK(isRefused(R"({"serverId":4,"changedBy":4})"));
  CHECK(isRefused(R"({"serverId":"","changedBy":4})"));
  CHECK(isRefused(R"({"serverId":"a"})"));
  CHECK(isRefused(R"({"serverId":"a","changedBy":"4"})"));
  CHECK(isRefused(R"({"serverId":"a","changedBy":4.5})"));
  CHECK(isRefused(R"({"serverId":"a","changedBy":9223372036854775808})"));
  CHECK(isRefused(R"({"serverId":"a","changedBy":9007199254740993})"));
  CHECK(isRefused(R"({"serverId":")" + string(129, 'a') + R"(","changedBy":4})"));
  CHECK(!isRefused(R"({"serverId":")" + string(128, 'a') + R"(","changedBy":9007199254740992})"));
}

TEST_GROUP(tallyService){};

TEST(tallyService, anAdditionAtOneNodeIsReadAtAnotherAndCountsOnce) {
  ControlPlane plane;
  string const body = R"({"serverId":"5c0e7a21d94b36f8","changedBy":4})";
  CHECK(plane.callUntil(200, 0, "/tallies/t3", body, "POST"));
  LONGS_EQUAL(200, plane.call(1, "POST", "/tallies/t3", body));
  STRCMP_EQUAL("{\"total\":4}", plane.bodyUntil("{\"total\":4}", 2, "/tallies/t3").c_str());
  STRCMP_EQUAL("{\"total\":0}", plane.bodyUntil("{\"total\":0}", 2, "/tallies/unused").c_str());
  LONGS_EQUAL(409, plane.call(0, "POST", "/tallies/t3", R"({"serverId":"5c0e7a21d94b36f8","changedBy":5})"));
  LONGS_EQUAL(400, plane.call(0, "POST", "/tallies/t3", "{}"));
  LONGS_EQUAL(405, plane.call(0, "PUT", "/tallies/t3", body));
  LONGS_EQUAL(400, plane.call(0, "GET", "/tallies/", ""));
}
TEST(tallyService, anIsolatedNodeKeepsCounting) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, "/tallies/t", R"({"serverId":"a","changedBy":1})", "POST"));
  plane.freeze(1);
  plane.freeze(2);
  CHECK(plane.callUntil(200, 0, "/tallies/t", R"({"serverId":"b","changedBy":2})", "POST"));
  STRCMP_EQUAL("{\"total\":3}", plane.bodyUntil("{\"total\":3}", 0, "/tallies/t").c_str());
}
TEST(tallyService, totalsSurviveARestart) {
  ControlPlane plane;
  CHECK(plane.callUntil(200, 0, "/tallies/t", R"({"serverId":"a","changedBy":7})", "POST"));
  plane.restartWithoutWorkers(0);
  STRCMP_EQUAL("{\"total\":7}", plane.bodyUntil("{\"total\":7}", 0, "/tallies/t").c_str());
}
