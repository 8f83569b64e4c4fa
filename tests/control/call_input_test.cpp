#include "control/call_input.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
int codeOf(std::function<void()> const& call) {
  try {
    call();
  } catch (Error const& error) {
    return static_cast<int>(error.code());
  }
  return 0;
}
}  // namespace

TEST_GROUP(callInput){};

TEST(callInput, idsInPaths) {
  STRCMP_EQUAL("i-7f3a91c2", idInPath("/servers/i-7f3a91c2", "/servers/").c_str());
  STRCMP_EQUAL("storage-hall-1", idInPath("/retire/storage-hall-1", "/retire/").c_str());
  for (string const& id : {string(), string("a/b"), string("a?b=c"), string("a#"), string("a%20"), string("a b"),
                           string("\xff"), string("a\n"), string("a\0b", 3), string(129, 'a'), string(1 << 20, 'a')})
    LONGS_EQUAL(407, codeOf([&] { idInPath("/servers/" + id, "/servers/"); }));
  LONGS_EQUAL(407, codeOf([] { idInPath("/x", "/servers/"); }));
}
TEST(callInput, retirements) {
  for (char const* const body : {"{\"overS\":10}", "{\"overS\":0.5}", "{\"overS\":0}", "{\"overS\":1,\"x\":[]}"})
    LONGS_EQUAL_TEXT(0, codeOf([&] { checkRetirement(body); }), body);
  for (string const& body :
       {string(), string("{"), string("[]"), string("10"), string("{}"), string("{\"overS\":\"10\"}"),
        string("{\"overS\":-1}"), string("{\"overS\":1e300}"), string("{\"overS\":1e999}"), string("{\"overS\":null}"),
        string("{\"overS\":NaN}"), string(1000000, '['), string("{\"overS\":10}x")})
    LONGS_EQUAL_TEXT(408, codeOf([&] { checkRetirement(body); }), body.substr(0, 40).c_str());
}
TEST(callInput, unknownOutcomesAreReportedAsRetryable) {
  for (ErrorCode const code : {ErrorCode::noQuorum, ErrorCode::connectionLost, ErrorCode::timedOut}) {
    LONGS_EQUAL(503, errorForCaller(Error(code), CallKind::change).status());
    LONGS_EQUAL(112, static_cast<int>(errorForCaller(Error(code), CallKind::change).code()));
    LONGS_EQUAL(210, static_cast<int>(errorForCaller(Error(code), CallKind::read).code()));
  }
  // An addition with an unknown outcome may have been counted, and a 503 would promise that it wasn't.
  LONGS_EQUAL(502, errorForCaller(Error(ErrorCode::additionUndecided), CallKind::addition).status());
  LONGS_EQUAL(502, errorForCaller(Error(ErrorCode::timedOut), CallKind::addition).status());
  LONGS_EQUAL(503, errorForCaller(Error(ErrorCode::notReady), CallKind::addition).status());
  for (ErrorCode const code : {ErrorCode::noOwner, ErrorCode::busy, ErrorCode::notConnected, ErrorCode::changeUndecided,
                               ErrorCode::changeTooOld})
    LONGS_EQUAL(503, errorForCaller(Error(code), CallKind::change).status());
  LONGS_EQUAL(412, errorForCaller(Error(ErrorCode::versionConflict), CallKind::change).status());
  LONGS_EQUAL(400, errorForCaller(Error(ErrorCode::badIfMatch), CallKind::change).status());
}
