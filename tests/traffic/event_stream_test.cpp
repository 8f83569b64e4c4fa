#include "traffic/event_stream.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(eventStream){};

TEST(eventStream, onlyWholeEventsPass) {
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
TEST(eventStream, anyCutGivesTheSameEvents) {
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
