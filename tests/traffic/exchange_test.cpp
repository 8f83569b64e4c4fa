#include "tests/traffic/worker_stand_in.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
using End = Script::End;
string const seal = "Server-Seal: s\r\n", refusal = "Not-Run: 1\r\n";
string const own = answerText(200, "$ID", seal, "own $ID"), another = answerText(200, "feed", seal, "another's");
string const anotherRefusal = answerText(503, "feed", refusal, "");
string const chunked = "HTTP/1.1 200 x\r\nAttempt-Id: $ID\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
string const unframed = "HTTP/1.1 200 x\r\nAttempt-Id: $ID\r\nServer-Seal: s\r\n\r\nown $ID";

/// Expected outcome of one kind of request: the client's status (0: incomplete answer) and the number of sends.
struct Outcome {
  int status;
  std::size_t sends;
};
/// A behaviour of all workers, on new or reused connections, and its expected outcome.
struct FaultCase {
  char const* name;
  char const* on;  ///< "new", "used" or "both"
  Script script;
  bool ran;             ///< the worker may have run the request
  Outcome once, again;  ///< for a non-repeatable and for a repeatable request
  std::size_t bodyBytes = 4;
};
constexpr std::size_t large = 12u << 20;  ///< more than the socket buffers hold
Script at(string answer, End end = End::keep) {
  return {"", true, std::move(answer), end, ""};
}
Script early(string answer, bool readsBody, End end = End::keep) {
  return {std::move(answer), readsBody, own, end, ""};
}
Script late(string extra) {
  return {"", true, own, End::keep, std::move(extra)};
}

vector<FaultCase> const faultCases = {
    {"a whole answer", "both", at(own), true, {200, 1}, {200, 1}},
    {"reset while the request is written", "both", early("", false, End::reset), true, {502, 1}, {502, 2}, large},
    {"reset after it was written", "both", at("", End::reset), true, {502, 1}, {502, 2}},
    {"closed after it was written", "both", at("", End::close), true, {502, 1}, {502, 2}},
    {"reset in the head", "both", at(own.substr(0, 30), End::reset), true, {502, 1}, {502, 2}},
    {"reset in the body", "both", at(own.substr(0, own.size() - 3), End::reset), true, {502, 1}, {502, 2}},
    {"closed in the body", "both", at(own.substr(0, own.size() - 3), End::close), true, {502, 1}, {502, 2}},
    {"silence", "both", at("", End::silent), true, {504, 1}, {504, 1}},
    {"silence in the body", "both", at(own.substr(0, own.size() - 3), End::silent), true, {504, 1}, {504, 1}},
    {"another's answer first", "both", at(another + own), true, {200, 1}, {200, 1}},
    {"another's refusal first", "both", at(anotherRefusal + own), true, {200, 1}, {200, 1}},
    {"another's 421 first", "both", at(answerText(421, "feed", "", "") + own), true, {200, 1}, {200, 1}},
    {"another's answer only", "both", at(another, End::close), true, {502, 1}, {502, 2}},
    {"another's refusal only", "both", at(anotherRefusal, End::close), true, {502, 1}, {502, 2}},
    {"another's refusal that closes",
     "both",
     at(answerText(503, "feed", refusal + "Connection: close\r\n", "")),
     true,
     {502, 1},
     {502, 2}},
    {"too many of another's",
     "both",
     at(another + another + another + another + another, End::silent),
     true,
     {502, 1},
     {502, 2}},
    {"another's answer, then one without id",
     "both",
     at(another + answerText(200, "", seal, "own")),
     true,
     {502, 1},
     {502, 2}},
    {"no id", "new", at(answerText(200, "", seal, "own")), true, {200, 1}, {200, 1}},
    {"no id on a used connection", "used", at(answerText(200, "", seal, "own")), true, {502, 1}, {502, 2}},
    {"refusal without id", "new", at(answerText(503, "", refusal, "")), false, {503, 2}, {503, 2}},
    {"refusal without id on a used connection", "used", at(answerText(503, "", refusal, "")), true, {502, 1}, {502, 2}},
    {"421 without id on a used connection", "used", at(answerText(421, "", "", "")), true, {502, 1}, {502, 2}},
    {"two ids", "both", at(answerText(503, "$ID", "Attempt-Id: feed\r\n" + refusal, "")), true, {502, 1}, {502, 2}},
    {"an answer before the request", "used", late(another), true, {200, 1}, {200, 1}},
    {"a refusal before the request", "used", late(anotherRefusal), true, {200, 1}, {200, 1}},
    {"an answer while the request is written", "both", early(another, true), true, {502, 1}, {502, 2}, large},
    {"a refusal while the request is written", "both", early(anotherRefusal, true), true, {502, 1}, {502, 2}, large},
    {"a refusal without id while it is written",
     "both",
     early(answerText(503, "", refusal, ""), true),
     true,
     {502, 1},
     {502, 2},
     large},
    {"two answers at once", "both", at(own + another), true, {200, 1}, {200, 1}},
    {"two answers at once, the second its own",
     "both",
     at(own + answerText(500, "$ID", seal, "another's")),
     true,
     {200, 1},
     {200, 1}},
    {"421", "both", at(answerText(421, "$ID", "", "")), false, {503, 2}, {503, 2}},
    {"421 that says it was not run", "both", at(answerText(421, "$ID", refusal, "")), false, {503, 2}, {503, 2}},
    {"503 that was not run", "both", at(answerText(503, "$ID", refusal, "")), false, {503, 2}, {503, 2}},
    {"503", "both", at(answerText(503, "$ID", "", "")), true, {502, 1}, {502, 2}},
    {"429", "both", at(answerText(429, "$ID", "", "")), true, {502, 1}, {502, 2}},
    {"408", "both", at(answerText(408, "$ID", "", "")), true, {502, 1}, {502, 2}},
    {"500", "both", at(answerText(500, "$ID", seal, "own")), true, {500, 1}, {500, 2}},
    {"404", "both", at(answerText(404, "$ID", seal, "own")), true, {404, 1}, {404, 1}},
    {"a success that was not run", "both", at(answerText(200, "$ID", seal + refusal, "own")), true, {502, 1}, {502, 2}},
    {"a success without seal", "both", at(answerText(200, "$ID", "", "own")), true, {502, 1}, {502, 2}},
    {"an interim answer", "both", at(answerText(100, "$ID", "", ""), End::close), true, {502, 1}, {502, 2}},
    {"a chunk cut short", "both", at(chunked + "3\r\now", End::close), true, {502, 1}, {502, 2}},
    {"chunks without an end", "both", at(chunked + "3\r\nown\r\n", End::close), true, {502, 1}, {502, 2}},
    {"chunks on a connection that closes",
     "both",
     at("HTTP/1.1 200 x\r\nAttempt-Id: $ID\r\nServer-Seal: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nown\r\n0\r\n\r\n",
        End::close),
     true,
     {200, 1},
     {200, 1}},
    {"a length on a connection that closes",
     "both",
     at(answerText(200, "$ID", seal + "Connection: close\r\n", "own $ID"), End::close),
     true,
     {200, 1},
     {200, 1}},
    {"a garbage chunk", "both", at(chunked + "3\r\nown\r\nzz\r\n"), true, {502, 1}, {502, 2}},
    {"a garbage head", "both", at("\x01\x02 garbage\r\n\r\n"), true, {502, 1}, {502, 2}},
    {"a body without a length that ends with its connection",
     "both",
     at(unframed, End::close),
     true,
     {200, 1},
     {200, 1}},
    {"a body without a length that is reset", "both", at(unframed, End::reset), true, {502, 1}, {502, 2}},
    {"a body without a length or an end", "both", at(unframed, End::silent), true, {504, 1}, {504, 1}},
};

void runCase(FaultCase const& faultCase, bool used, bool mayRepeat) {
  string const what = string(faultCase.name) + (used ? ", used connection" : ", new connection") +
                      (mayRepeat ? ", repeatable" : ", once");
  EdgeRig rig(faultCase.script);
  if (used) CHECK_TEXT(rig.prime(), what.c_str());
  if (!used) {
    // The idle connection left by the start of the rig is closed.
    CHECK_TEXT(rig.workers[0].primed + rig.workers[1].primed == 1, what.c_str());
    for (StandIn& w : rig.workers) w.closeAll();
    rig.run(Ms(5));
  }
  bool const silent = faultCase.script.end == End::silent;
  Got const got = rig.call(mayRepeat ? "/again/x" : "/once/x", "id1", faultCase.bodyBytes, silent ? 300 : 4000);
  Outcome const& want = mayRepeat ? faultCase.again : faultCase.once;
  LONGS_EQUAL_TEXT(want.status, got.status, what.c_str());
  LONGS_EQUAL_TEXT(want.sends, rig.sends(), what.c_str());
  bool const onUsed = rig.workers[0].onUsed || rig.workers[1].onUsed;
  CHECK_TEXT(onUsed == (used && faultCase.script.late.empty()), what.c_str());
  // Invariants of all cases.
  CHECK_TEXT(got.raw.find("another's") == string::npos, what.c_str());
  CHECK_TEXT(got.status / 100 != 2 || got.body.substr(0, 3) == "own", what.c_str());
  bool const promise = got.status == 408 || got.status == 421 || got.status == 429 || got.status == 503;
  CHECK_TEXT(!promise || !faultCase.ran, what.c_str());
  CHECK_TEXT(mayRepeat || !faultCase.ran || rig.sends() == 1, what.c_str());
  CHECK_TEXT(rig.failedRequests() == 0, what.c_str());
  for (int n = 0; n < 4; ++n) {
    string const id = "nx" + std::to_string(n);
    Got const next = rig.call("/again/prime", id);
    CHECK_TEXT(next.status == 200 && next.body == "own " + id, what.c_str());
  }
}
}  // namespace

TEST_GROUP(exchange){};

TEST(exchange, anAnswerBelongsToItsAttempt) {
  struct Case {
    vector<char const*> ids;
    bool only;
    AnswerOwner want;
  };
  for (Case const& c : vector<Case>{{{"a"}, false, AnswerOwner::ours},
                                    {{"a"}, true, AnswerOwner::ours},
                                    {{"b"}, false, AnswerOwner::another},
                                    {{"b"}, true, AnswerOwner::another},
                                    {{}, true, AnswerOwner::ours},
                                    {{}, false, AnswerOwner::unknown},
                                    {{""}, true, AnswerOwner::unknown},
                                    {{"a", "b"}, true, AnswerOwner::unknown},
                                    {{"a", "a"}, false, AnswerOwner::unknown}}) {
    http::fields f;
    for (char const* const id : c.ids) f.insert("Attempt-Id", id);
    CHECK(answerOwner(f, "a", c.only) == c.want);
  }
}
TEST(exchange, onNewConnections) {
  for (FaultCase const& faultCase : faultCases)
    for (bool const mayRepeat : {false, true})
      if (faultCase.on[0] != 'u') runCase(faultCase, false, mayRepeat);
}
TEST(exchange, onUsedConnections) {
  for (FaultCase const& faultCase : faultCases)
    for (bool const mayRepeat : {false, true})
      if (faultCase.on[0] != 'n') runCase(faultCase, true, mayRepeat);
}

/// A request accepted shortly before the end of the grace period would be aborted while a worker runs it.
TEST(exchange, aStoppingEdgeRefusesWhatItCouldNotFinish) {
  Script const script = at(own);
  EdgeRig rig(script);
  CHECK(rig.prime());
  rig.stopEdge();
  LONGS_EQUAL(200, rig.call("/once/x", "id1").status);
  std::size_t const sends = rig.sends();
  rig.run(rig.untilRefusal() + Ms(20));
  Got const refused = rig.call("/once/x", "id2");
  LONGS_EQUAL(503, refused.status);
  CHECK(refused.raw.find("Retry-After") != string::npos);
  CHECK(refused.raw.find("Connection: close") != string::npos);
  LONGS_EQUAL_TEXT(sends, rig.sends(), "a worker received a request that was refused");
}

/// A worker breaks a stream off midway; only a resumable one continues at another worker.
TEST(exchange, aBrokenStreamIsResumedOrClosed) {
  string const head = chunked, one = "f\r\nid: 1\ndata: a\n\n\r\n", two = "f\r\nid: 2\ndata: b\n\n\r\n";
  struct Case {
    char const* path;
    Script onResume;
    int status;
    std::size_t sends;
    char const* body;
  };
  for (Case const& c :
       vector<Case>{{"/streaming/x", at(""), 0, 1, ""},
                    {"/resumable/x", at(head + two + "0\r\n\r\n"), 200, 2, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
                    {"/resumable/x", at(answerText(500, "$ID", seal, "own")), 0, 2, ""},
                    {"/resumable/x", at(answerText(503, "$ID", refusal, "")), 0, 2, ""},
                    {"/resumable/x", at(answerText(404, "$ID", seal, "own")), 0, 2, ""},
                    {"/resumable/x", at(head + two, End::reset), 0, 2, ""}}) {
    Script const script = at(head + one + "f\r\nid: 2\nda", End::reset);
    EdgeRig rig(script);
    for (StandIn& w : rig.workers) w.onResume = c.onResume;
    Got const got = rig.call(c.path, "id1");
    LONGS_EQUAL(c.status, got.status);
    CHECK_TEXT(c.status || got.closed, "the connection of an incomplete stream stays open");
    LONGS_EQUAL(c.sends, rig.sends());
    CHECK_TEXT(got.raw.find("HTTP/1.1") == got.raw.rfind("HTTP/1.1"), "a second head was sent inside the first answer");
    STRCMP_EQUAL(c.body, got.body.c_str());
  }
}
/// The connection of a worker that crashes between two events closes just as that of a worker that is done.
TEST(exchange, aStreamWithoutALengthNeverCountsAsComplete) {
  Script const script = at("HTTP/1.1 200 x\r\nAttempt-Id: $ID\r\nServer-Seal: s\r\n\r\nid: 1\ndata: a\n\n", End::close);
  EdgeRig rig(script);
  Got const got = rig.call("/streaming/x", "id1");
  LONGS_EQUAL(0, got.status);
  CHECK_TEXT(got.closed, "the client can't detect that its stream is incomplete");
  CHECK_TEXT(got.raw.find("\r\n0\r\n") == string::npos, "the stream looks complete");
  LONGS_EQUAL(1, rig.sends());
}
/// A late second answer to a refused try would have the same id as the retry.
TEST(exchange, aRetryNeverReusesTheConnectionThatRefusedIt) {
  asio::io_context io{1};
  Settings settings;
  ConnectionPool pool(io, settings);
  Worker w;
  w.id = "i-1";
  tcp::acceptor a(io, {asio::ip::make_address("127.0.0.78"), 0});
  std::unique_ptr<WorkerConnection> c = pool.create();
  c->socket.connect(a.local_endpoint());
  c->keepUntil = Clock::now() + Ms(60000);
  c->failedAttempts.push_back(hash64("a"));
  WorkerConnection* const had = c.get();
  pool.release(w.id, std::move(c));
  CHECK(pool.acquire(w, true, "a").get() != had);
  CHECK(pool.acquire(w, true, "b").get() == had);
}
