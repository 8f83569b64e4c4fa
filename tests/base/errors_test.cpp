#include "base/tealshelf.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <sstream>

using namespace tealshelf;

namespace {
string textOf(string const& path) {
  std::ifstream file(string(TEALSHELF_SOURCE) + "/" + path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}
}  // namespace

TEST_GROUP(errors){};

TEST(errors, docsHoldTheWholeTable) {
  string const doc = textOf("docs/errors.md");
  for (std::size_t i = 0; i < errorTableSize; ++i) {
    ErrorInfo const& info = errorTable[i];
    string row = "| E";
    row.append(std::to_string(static_cast<int>(info.code)))
        .append(" | ")
        .append(std::to_string(httpStatusOf(info.kind)));
    row.append(" | ").append(info.text).append(" |");
    CHECK_TEXT(doc.find(row) != string::npos, row.c_str());
    if (i) CHECK(errorTable[i - 1].code < info.code);
  }
}
TEST(errors, statusFollowsFromTheKind) {
  LONGS_EQUAL(412, Error(ErrorCode::versionConflict).status());
  LONGS_EQUAL(503, Error(ErrorCode::workersFull).status());
  LONGS_EQUAL(502, Error(ErrorCode::workerFailed).status());
  LONGS_EQUAL(429, Error(ErrorCode::lotOverQuota).status());
}
