#include "tests/edge/kept_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
string const seal = "Server-Seal: s\r\n", own = answerText(200, "$ID", seal, "own $ID");
Script const answersOwn{"", true, own, Script::End::keep, ""};
Script const answersSlowly{"", true, own, Script::End::keep, "", Ms(100)};

bool says(Got const& got, string_view text) {
  return got.raw.find(text) != string::npos;
}
}  // namespace

/// A request that the edge node has read completely gets a complete answer, whatever else happens; any other request
/// reaches no worker.
TEST_GROUP(unanswered){};

TEST(unanswered, aRequestSentBeforeTheStopIsAnswered) {
  EdgeRig rig(answersOwn);
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("POST", "/once/x", "id1", "b")));
  LONGS_EQUAL(200, client.answer().status);
  std::size_t const sends = rig.sends();
  CHECK(client.send(requestText("POST", "/once/x", "id2", "b")));
  rig.stopEdge();
  Got const got = client.answer();
  LONGS_EQUAL(200, got.status);
  CHECK(says(got, "Connection: close"));
  LONGS_EQUAL(sends + 1, rig.sends());
}
TEST(unanswered, idleConnectionsEndWithTheStop) {
  EdgeRig rig(answersOwn);
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("POST", "/once/x", "id1", "b")));
  LONGS_EQUAL(200, client.answer().status);
  rig.stopEdge();
  CHECK(client.endsWithout());
}
/// A client may pipeline requests; a stop between two of them aborts neither.
TEST(unanswered, aPipelinedRequestIsAnsweredDuringAStop) {
  EdgeRig rig(answersSlowly);
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("POST", "/once/x", "id1", "b") + requestText("POST", "/once/x", "id2", "b")));
  rig.run(Ms(20));
  LONGS_EQUAL(1, rig.sends());
  rig.stopEdge();
  Got const first = client.answer();
  Got const second = client.answer();
  STRCMP_EQUAL("own id1", first.body.c_str());
  STRCMP_EQUAL("own id2", second.body.c_str());
  CHECK(!says(first, "Connection: close"));
  CHECK(says(second, "Connection: close"));
}
/// An exception thrown by a library results in an answer, and the request no longer counts as active.
TEST(unanswered, anInternalFailureIsAnswered) {
  EdgeRig rig(answersOwn);
  CHECK(rig.prime());
  KeptClient client(rig);
  // A TRACE with a body: the library refuses to write such a request.
  CHECK(client.send(requestText("TRACE", "/once/x", "id1", "b")));
  Got const got = client.answer();
  LONGS_EQUAL(502, got.status);
  CHECK(says(got, "Connection: close"));
  // The answer may be here before the node's task, which wrote it, has ended.
  for (int turn = 0; turn < 200 && rig.activeRequests(); ++turn) rig.run(Ms(5));
  LONGS_EQUAL(0, rig.activeRequests());
  LONGS_EQUAL(1, rig.failedRequests());
  LONGS_EQUAL(0, rig.sends());
}
/// The limits in force when a request arrives apply, not those when its connection became idle.
TEST(unanswered, changedLimitsApplyToIdleConnections) {
  EdgeRig rig(answersOwn);
  rig.changeLimits({16384, 8, Ms(3000), Ms(200)});
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("POST", "/once/x", "id1", "b")));
  LONGS_EQUAL(200, client.answer().status);
  rig.changeLimits({16384, 1u << 20, Ms(3000), Ms(15000)});
  rig.run(Ms(400));
  CHECK(client.send(requestText("POST", "/once/x", "id2", string(1000, 'b'))));
  LONGS_EQUAL(200, client.answer().status);
  rig.changeLimits({16384, 1u << 20, Ms(3000), Ms(200)});
  CHECK(client.endsWithout());
}
/// The client gets the answer although the edge node stops reading the body.
TEST(unanswered, aBodyOverTheLimitIsAnswered) {
  EdgeRig rig(answersOwn);
  rig.changeLimits({16384, 1u << 20, Ms(3000), Ms(15000)});
  Got const got = rig.call("/once/x", "id1", 12u << 20);
  LONGS_EQUAL(413, got.status);
  LONGS_EQUAL(0, rig.sends());
}
TEST(unanswered, aClientThatExpects100ContinueGetsIt) {
  EdgeRig rig(answersOwn);
  CHECK(rig.prime());
  KeptClient client(rig);
  string const request = requestText("POST", "/once/x", "id1", "body", "Expect: 100-continue\r\n");
  CHECK(client.send(request.substr(0, request.size() - 4)));
  LONGS_EQUAL(100, client.answer().status);
  CHECK(client.send("body"));
  LONGS_EQUAL(200, client.answer().status);
}
/// The client would take a body in the answer to a HEAD for the next answer.
TEST(unanswered, answersToAHeadHaveNoBody) {
  EdgeRig rig(answersOwn);
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("HEAD", "/nowhere/x", "id1")));
  LONGS_EQUAL(404, client.answer(true).status);
  rig.run(Ms(20));
  CHECK(client.send(requestText("POST", "/once/x", "id2", "b")));
  LONGS_EQUAL(200, client.answer().status);
}
TEST(unanswered, aHalfClosedClientGetsItsAnswer) {
  EdgeRig rig(answersOwn);
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("POST", "/once/x", "id1", "b")));
  client.endSending();
  STRCMP_EQUAL("own id1", client.answer().body.c_str());
}
/// The route of a request that waits for its worker is removed, and the worker's service with it.
TEST(unanswered, aRequestOutlivesItsRoute) {
  EdgeRig rig(answersSlowly);
  CHECK(rig.prime());
  KeptClient client(rig);
  CHECK(client.send(requestText("POST", "/once/x", "id1", "b")));
  rig.run(Ms(20));
  LONGS_EQUAL(1, rig.sends());
  rig.removeRoutes();
  STRCMP_EQUAL("own id1", client.answer().body.c_str());
  CHECK(client.send(requestText("POST", "/once/x", "id2", "b")));
  LONGS_EQUAL(404, client.answer().status);
}
