#include "apps/status_reader.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(tallyStatus){};

TEST(tallyStatus, talliesThatDifferComeFirst) {
  string const left = R"({"node":"a","tallies":[{"tally":"s","total":"4"},{"tally":"t","total":"7"}]})";
  string const right = R"({"node":"b","tallies":[{"tally":"s","total":"4"}]})";
  STRCMP_EQUAL(
      "tally  agree  a  b\n"
      "t      no     7  0\n"
      "s      yes    4  4\n",
      tallyTable({left, right}).c_str());
}
TEST(tallyStatus, aMalformedReportIsAnError) {
  try {
    tallyTable({"[]"});
    FAIL("a malformed report was accepted");
  } catch (Error const& error) {
    CHECK(error.code() == ErrorCode::badMessage);
  }
}
