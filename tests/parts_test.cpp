#include "lots/lot_parser.hpp"
#include "traffic/event_stream.hpp"
#include "traffic/exchange.hpp"
#include "workers/worker_registry.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <sstream>

using namespace tealshelf;

namespace {
string slurped(string const& p) {
  std::ifstream f(string(TEALSHELF_SOURCE) + "/" + p);
  std::stringstream s;
  s << f.rdbuf();
  return s.str();
}
string const settingsText =
    "nodeName=a-1\nrole=control\nipAddress=127.0.0.9\nzone=z\ninternalPorts=7000,7005\nseedNodes=127.0.0.9:8000,127.0."
    "0.10:8000\n"
    "firstBoot=true\nbounds.catchUpS=5.1\nlimits.memoryMb=260\nsurvive.machines=1\n";
}  // namespace

TEST_GROUP(errors){};

TEST(errors, docsHoldTheWholeTable) {
  string const doc = slurped("docs/errors.md");
  for (std::size_t i = 0; i < errorTableSize; ++i) {
    ErrorInfo const& l = errorTable[i];
    string row = "| E";
    row.append(std::to_string(static_cast<int>(l.code))).append(" | ").append(std::to_string(httpStatusOf(l.kind)));
    row.append(" | ").append(l.text).append(" |");
    CHECK_TEXT(doc.find(row) != string::npos, row.c_str());
    if (i) CHECK(errorTable[i - 1].code < l.code);
  }
}
TEST(errors, statusFollowsFromTheKind) {
  LONGS_EQUAL(412, Error(ErrorCode::versionConflict).status());
  LONGS_EQUAL(503, Error(ErrorCode::workersFull).status());
  LONGS_EQUAL(502, Error(ErrorCode::workerFailed).status());
  LONGS_EQUAL(429, Error(ErrorCode::lotOverQuota).status());
}

TEST_GROUP(settings){};

TEST(settings, readsTheExample) {
  vector<SettingsFault> f;
  Settings const b = readSettings(settingsText + "some.new.field=7\n", f);
  CHECK(f.empty());
  LONGS_EQUAL(5100, b.bounds.catchUp.count());
  LONGS_EQUAL(7000, b.controlAddress("x").port);
  LONGS_EQUAL(2, b.seeds.size());
  CHECK(b.firstBoot);
  LONGS_EQUAL(1, b.unknownFields.size());
}
TEST(settings, listsAllFaultsInOnePass) {
  vector<SettingsFault> f;
  readSettings("nodeName=a\nipAddress=1\ninternalPorts=9,8\nlimits.memoryMb=-4\nfirstBoot=maybe\nbounds.graceS=x\n", f);
  LONGS_EQUAL(6, f.size());  // four bad values, no ports and no seeds
  LONGS_EQUAL(3, f[0].line);
}

TEST_GROUP(workers) {
  WorkerRegistry t{Ms(3600)};
  TimePoint now = TimePoint() + std::chrono::hours(1);
  static Worker worker(std::uint64_t count, bool draining = false) {
    Worker w;
    w.id = "i-1";
    w.service = "s";
    w.address = {"10.0.0.1", 80};
    w.callCount = count;
    w.draining = draining;
    return w;
  }
};

TEST(workers, lateBeatsAreDropped) {
  CHECK(t.merge(worker(5, true), now));
  CHECK_FALSE(t.merge(worker(4), now));
  CHECK(t.isLate(worker(4)));
  CHECK(t.find("i-1")->draining);
  CHECK_FALSE(t.merge(worker(6), now));
  CHECK_TEXT(t.find("i-1")->draining, "a worker that drains never serves again");
}
TEST(workers, goneStaysGone) {
  t.merge(worker(1), now);
  Worker w = worker(1);
  w.removed = true;
  CHECK(t.merge(w, now));
  CHECK_FALSE(t.merge(worker(9), now));
  LONGS_EQUAL(1, t.changedSince(0).size());
  CHECK(t.changedSince(0)[0].removed);
}
TEST(workers, lostOnesComeBackWithABeat) {
  t.merge(worker(1), now);
  std::uint64_t const rev = t.revision();
  CHECK(t.expire(now + Ms(4000)));
  CHECK(t.changedSince(rev)[0].removed);
  CHECK_TEXT(t.present().empty(), "what is merely lost must not be noted as gone");
  CHECK(t.merge(worker(2), now + Ms(4100)));
  CHECK_FALSE(t.changedSince(rev)[0].removed);
}

/// Several registers that tell each other only transitions, as control nodes do.
TEST(workers, onlyTheRegistrarTellsAndLoses) {
  WorkerRegistry a{Ms(3600), NodeId(1)}, b{Ms(3600), NodeId(2)};
  Worker w = worker(1);
  w.registrar = NodeId(1);
  CHECK(a.merge(w, now));
  vector<Worker> told = a.takeTransitions();
  LONGS_EQUAL(1, told.size());
  CHECK(b.merge(told[0], now));
  CHECK_TEXT(b.takeTransitions().empty(), "another's word is not told on");
  for (std::uint64_t n = 2; n < 9; ++n) {
    now += Ms(1200);
    w.callCount = n;
    a.merge(w, now);
    CHECK_TEXT(a.takeTransitions().empty(), "a beat like the last one is not told");
    b.noteRegistrarAlive(NodeId(1), now);
    CHECK_FALSE(b.expire(now));
  }
  // The worker goes to the other: that is told, and the old registrar doesn't lose it.
  w.registrar = NodeId(2);
  w.callCount = 9;
  CHECK_FALSE(b.merge(w, now));
  told = b.takeTransitions();
  LONGS_EQUAL(1, told.size());
  a.merge(told[0], now);
  now += Ms(4000);
  a.noteRegistrarAlive(NodeId(2), now);
  CHECK_FALSE(a.expire(now));
  // Its registrar loses it and says so; the word of another would not count.
  Worker untrue = w;
  untrue.lost = true;
  untrue.registrar = NodeId(3);
  CHECK_FALSE(a.merge(untrue, now));
  CHECK(b.expire(now));
  told = b.takeTransitions();
  LONGS_EQUAL(1, told.size());
  CHECK(told[0].lost);
  CHECK(a.merge(told[0], now));
  CHECK(a.present().empty() && b.present().empty());
}
TEST(workers, aWholeRegisterMendsAGap) {
  WorkerRegistry a{Ms(3600), NodeId(1)}, b{Ms(3600), NodeId(2)};
  for (int i = 0; i < 5; ++i) {
    Worker w = worker(1);
    w.id = "i-" + std::to_string(i);
    w.registrar = NodeId(1);
    a.merge(w, now);
    b.merge(w, now);
  }
  Worker gone = *a.find("i-2");
  gone.removed = true;
  a.merge(gone, now);
  now += Ms(4000);
  for (char const* const id : {"i-0", "i-1"}) {
    Worker w = *a.find(id);
    w.callCount = 5;
    a.merge(w, now);
  }
  CHECK(a.expire(now));
  LONGS_EQUAL(3, a.present().size());
  CHECK(b.mergeAll(a.present(), NodeId(1), now));
  std::set<string> left;
  for (Worker const& w : b.present())
    if (!w.removed) left.insert(w.id);
  CHECK((left == std::set<string>{"i-0", "i-1"}));
  CHECK(b.find("i-2")->removed);
}

TEST_GROUP(lots){};

TEST(lots, readsItems) {
  vector<ItemRecord> const v = parseLot(
      "{\"requests\":[{\"serverId\":\"a\",\"urlPath\":\"/p/"
      "1\",\"headerMap\":{\"Model\":\"m\"},\"payload\":\"q83vEjRWeJA=\",\"tokens\":940}]}");
  LONGS_EQUAL(1, v.size());
  LONGS_EQUAL(8, v[0].body.size());
  LONGS_EQUAL(0xab, static_cast<unsigned char>(v[0].body[0]));
  LONGS_EQUAL(940, v[0].tokens);
}
TEST(lots, refusesBadOnesByNumber) {
  auto const code = [](string const& s) {
    try {
      parseLot(s);
    } catch (Error const& x) {
      return static_cast<int>(x.code());
    }
    return 0;
  };
  LONGS_EQUAL(300, code("{"));
  LONGS_EQUAL(300, code("{\"requests\":[]}"));
  LONGS_EQUAL(300, code("{\"requests\":[{\"serverId\":\"a\"}]}"));
  LONGS_EQUAL(300, code("{\"requests\":[{\"serverId\":\"a\",\"urlPath\":\"/p\",\"headerMap\":{\"X\":\"a\\r\\nB: "
                        "c\"},\"tokens\":1}]}"));
  LONGS_EQUAL(303, code("{\"requests\":[{\"serverId\":\"a\",\"urlPath\":\"/p\",\"payload\":\"a\",\"tokens\":1}]}"));
  LONGS_EQUAL(302, code("{\"requests\":[{\"serverId\":\"a\",\"urlPath\":\"/"
                        "p\",\"tokens\":1},{\"serverId\":\"a\",\"urlPath\":\"/p\",\"tokens\":1}]}"));
  string many = "{\"requests\":[";
  for (int i = 0; i < 201; ++i)
    many += string(i ? "," : "") + "{\"serverId\":\"a" + std::to_string(i) + "\",\"urlPath\":\"/p\",\"tokens\":1}";
  LONGS_EQUAL(301, code(many + "]}"));
}
TEST(lots, base64IsStrict) {
  STRCMP_EQUAL("A", decodeBase64("QQ==").value().c_str());
  STRCMP_EQUAL("", decodeBase64("").value().c_str());
  CHECK_FALSE(decodeBase64("QQ=").has_value());
  CHECK_FALSE(decodeBase64("Q=Q=").has_value());
  CHECK_FALSE(decodeBase64("QQ==QQ==").has_value());
}

TEST_GROUP(events){};

TEST(events, onlyWholeEventsPass) {
  EventStreamReader r;
  r.data = "";
  STRCMP_EQUAL("", r.feed("id: 1\ndata: a").c_str());
  CHECK_FALSE(r.hasEvents());
  STRCMP_EQUAL("id: 1\ndata: ab\n\n", r.feed("b\n\nid: 2\nda").c_str());
  LONGS_EQUAL(1, r.lastId());
  CHECK_FALSE(r.atEventBoundary());
  r.dropPartialEvent();
  r.feed("id: 2\ndata: c\n\n");
  STRCMP_EQUAL("ab\nc", r.data->c_str());
  LONGS_EQUAL(2, r.lastId());
  CHECK(r.atEventBoundary());
}
TEST(events, anyCutGivesTheSameEvents) {
  string const s = "weight-versions: 3\nid: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n";
  for (std::size_t a = 0; a < s.size(); ++a) {
    EventStreamReader r;
    r.data = "";
    string out = r.feed(string_view(s).substr(0, a));
    out += r.feed(string_view(s).substr(a));
    STRCMP_EQUAL(s.c_str(), out.c_str());
    STRCMP_EQUAL("x\ny\nz", r.data->c_str());
  }
}
