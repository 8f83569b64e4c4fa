#include "configuration/change_decision.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
using Rows = std::map<string, string>;

/// A valid configuration; `mark` distinguishes configurations of one version.
string configuration(std::uint64_t version, string const& mark = "a") {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"" + mark +
         "\",\"host\":\"h.example\",\"pathStart\":\"/a/\",\"kind\":\"repeatable\",\"timeLimitMs\":1000,"
         "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}";
}
ChangeRequest changeRequest(std::uint64_t base, std::uint64_t version, string const& mark = "a") {
  return ChangeRequest{std::to_string(base), configuration(version, mark)};
}
/// A valid change on version 9, with one part of its text replaced.
ChangeRequest withReplacement(string const& part, string const& replacement) {
  string text = configuration(10);
  return ChangeRequest{"9", text.replace(text.find(part), part.size(), replacement)};
}
void apply(Rows& rows, ChangeRequest const& request, HistoryShape shape = HistoryShape()) {
  ChangeDecision const decision = decideChange(rows, request, shape);
  LONGS_EQUAL(static_cast<int>(ChangeVerdict::apply), static_cast<int>(decision.verdict));
  for (ChangeHistory::Row const& row : decision.rows) rows[row.key] = row.value;
}
/// The rows after changes to the versions 3, 6, 9 and so on.
Rows after(std::uint64_t changes, HistoryShape shape = HistoryShape()) {
  Rows rows;
  for (std::uint64_t i = 0; i < changes; ++i) apply(rows, changeRequest(3 * i, 3 * i + 3), shape);
  return rows;
}
void expect(Rows const& rows, ChangeRequest const& request, ChangeVerdict verdict, int code = 0,
            HistoryShape shape = HistoryShape()) {
  ChangeDecision const decision = decideChange(rows, request, shape);
  LONGS_EQUAL_TEXT(static_cast<int>(verdict), static_cast<int>(decision.verdict),
                   (request.ifMatch + " " + request.body).c_str());
  if (code) LONGS_EQUAL(code, static_cast<int>(decision.code));
}
}  // namespace

TEST_GROUP(changeDecision){};

TEST(changeDecision, verdicts) {
  Rows const none, rows = after(3);  // 0 > 3 > 6 > 9
  struct {
    Rows const& rows;
    ChangeRequest request;
    ChangeVerdict verdict;
    int code;
  } const table[] = {
      {none, changeRequest(0, 1), ChangeVerdict::apply, 0},
      {none, changeRequest(4, 5), ChangeVerdict::conflict, 109},
      {none, changeRequest(0, 0), ChangeVerdict::invalid, 105},
      {rows, changeRequest(9, 10), ChangeVerdict::apply, 0},
      {rows, changeRequest(6, 9), ChangeVerdict::acknowledgeAgain, 0},
      {rows, changeRequest(3, 6), ChangeVerdict::acknowledgeAgain, 0},
      {rows, changeRequest(0, 3), ChangeVerdict::acknowledgeAgain, 0},
      {rows, {"0", " " + changeRequest(0, 3).body + "\n"}, ChangeVerdict::acknowledgeAgain, 0},
      // The same number on the same base with other content.
      {rows, changeRequest(0, 3, "b"), ChangeVerdict::conflict, 109},
      {rows, changeRequest(6, 9, "b"), ChangeVerdict::conflict, 109},
      {rows, changeRequest(3, 5), ChangeVerdict::conflict, 109},
      {rows, changeRequest(5, 12), ChangeVerdict::conflict, 109},   // a base that never existed
      {rows, changeRequest(12, 13), ChangeVerdict::conflict, 109},  // a base that doesn't exist yet
      {rows, changeRequest(9, 9), ChangeVerdict::invalid, 105},
      {rows, changeRequest(9, 8), ChangeVerdict::invalid, 105},
      {rows, changeRequest(3, 9), ChangeVerdict::conflict, 109},  // the current content on another base
      {rows, {"", configuration(10)}, ChangeVerdict::invalid, 110},
      {rows, {"x", configuration(10)}, ChangeVerdict::invalid, 110},
      {rows, {"-9", configuration(10)}, ChangeVerdict::invalid, 110},
      {rows, {"9.0", configuration(10)}, ChangeVerdict::invalid, 110},
      {rows, {string(40, '9'), configuration(10)}, ChangeVerdict::invalid, 110},
      {rows, {"9", ""}, ChangeVerdict::invalid, 100},
      {rows, {"9", "[]"}, ChangeVerdict::invalid, 100},
      {rows, {"9", configuration(10).substr(0, 60)}, ChangeVerdict::invalid, 100},
      {rows, {"9", string(1000000, '[')}, ChangeVerdict::invalid, 100},
      {rows, {"9", "{\"version\":-1" + configuration(1).substr(12)}, ChangeVerdict::invalid, 107},
      {rows, {"9", "{\"version\":1e30" + configuration(1).substr(12)}, ChangeVerdict::invalid, 107},
      {rows, {"9", "{\"version\":\"ten\"" + configuration(1).substr(12)}, ChangeVerdict::invalid, 106},
      {rows, {"9", "{\"version\":10,\"routes\":[],\"services\":7}"}, ChangeVerdict::invalid, 106},
      {rows, withReplacement("\"timeLimitMs\":1000", "\"timeLimitMs\":100000000000000000"), ChangeVerdict::invalid,
       107},
      {rows, withReplacement("\"service\":\"s\"", "\"split\":[{\"service\":\"s\",\"share\":900000000000000000}]"),
       ChangeVerdict::invalid, 107},
  };
  for (auto const& line : table) expect(line.rows, line.request, line.verdict, line.code);
}
TEST(changeDecision, theLast1024ChangesAreRecognized) {
  std::uint64_t const changes = 1024 + 200;
  Rows const rows = after(changes);
  std::size_t bytes = 0, keys = 0;
  for (Rows::value_type const& row : rows) {
    if (row.first == currentConfigurationKey) continue;
    bytes += row.first.size() + row.second.size();
    ++keys;
  }
  CHECK(keys <= HistoryShape().pages);
  CHECK(bytes < 64 * 1024);
  for (std::uint64_t i = 0; i < changes; ++i) {
    bool const kept = i + 1024 >= changes;
    if (kept) expect(rows, changeRequest(3 * i, 3 * i + 3), ChangeVerdict::acknowledgeAgain);
    if (kept) expect(rows, changeRequest(3 * i, 3 * i + 3, "b"), ChangeVerdict::conflict, 109);
  }
  // A change that may have been overwritten in the history is neither refused nor accepted again.
  expect(rows, changeRequest(0, 3), ChangeVerdict::tooOld, 111);
  expect(rows, changeRequest(0, 3, "b"), ChangeVerdict::tooOld, 111);
}
TEST(changeDecision, aRingOfAnyShapeKeepsTheNewestChanges) {
  for (HistoryShape const shape : {HistoryShape{2, 1}, HistoryShape{2, 3}, HistoryShape{4, 4}})
    for (std::uint64_t changes = 1; changes < 40; ++changes) {
      Rows const rows = after(changes, shape);
      std::uint64_t const alwaysKept = (shape.pages - 1) * shape.changesPerPage + 1;
      for (std::uint64_t i = 0; i < changes; ++i) {
        ChangeVerdict const verdict = decideChange(rows, changeRequest(3 * i, 3 * i + 3), shape).verdict;
        CHECK(verdict == ChangeVerdict::acknowledgeAgain ||
              (verdict == ChangeVerdict::tooOld && i + alwaysKept < changes));
      }
    }
}
/// A page that a deposed owner wrote may reappear without the configuration of the same change.
TEST(changeDecision, pagesWithoutTheirConfigurationDoNotCount) {
  HistoryShape const shape{8, 1};
  Rows rows = after(3, shape), other = rows;
  apply(other, changeRequest(9, 12, "lost"), shape);
  rows["orders/3"] = other.at("orders/3");
  expect(rows, changeRequest(9, 12, "lost"), ChangeVerdict::apply, 0, shape);
  expect(rows, changeRequest(6, 9), ChangeVerdict::acknowledgeAgain, 0, shape);
  apply(rows, changeRequest(9, 11), shape);
  expect(rows, changeRequest(9, 12, "lost"), ChangeVerdict::conflict, 109, shape);
  expect(rows, changeRequest(9, 11), ChangeVerdict::acknowledgeAgain, 0, shape);
}
TEST(changeDecision, withoutHistoryAnOldChangeIsNeitherAcceptedNorRefused) {
  Rows rows;
  rows[currentConfigurationKey] = configuration(9);
  expect(rows, changeRequest(6, 9), ChangeVerdict::tooOld, 111);
  expect(rows, changeRequest(9, 10), ChangeVerdict::apply);
}
TEST(changeDecision, noChangeIsDecidedWhileAnotherIsUndecided) {
  Rows rows = after(2);
  UndecidedChange undecided;
  CHECK_FALSE(undecided.isOpen(5, rows));
  ChangeRequest const written = changeRequest(6, 9);
  undecided.begin(decideChange(rows, written).id, 5);
  CHECK_TRUE(undecided.isOpen(5, rows));
  CHECK_TRUE(undecided.isOpen(5, rows));
  UndecidedChange inNextEpoch = undecided;
  CHECK_FALSE(inNextEpoch.isOpen(6, rows));  // the epoch of the write has ended
  apply(rows, written);
  CHECK_FALSE(undecided.isOpen(5, rows));  // the change is committed
}
