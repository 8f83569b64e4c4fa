#include "configuration/canonical_json.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(canonicalJson){};

TEST(canonicalJson, equalContentHasOneForm) {
  struct {
    char const *one, *other;
    bool equal;
  } const table[] = {
      {"{\"a\":1,\"b\":[1,2]}", " { \"b\" : [ 1 , 2 ] ,\n\t\"a\" : 1 } ", true},
      {"[1,2]", "[2,1]", false},
      {"[1.0,10e-1,100,-0,0.50]", "[1,1,1e2,0,5E-1]", true},
      {"[9007199254740993]", "[9007199254740992]", false},
      {"[18446744073709551616]", "[18446744073709551617]", false},
      {"[0.1]", "[0.10000000000000001]", false},
      {"[1]", "[\"1\"]", false},
      {"[-1]", "[1]", false},
      {"[1e5]", "[1e6]", false},
      {"[\"\\u0041\\/\"]", "[\"A/\"]", true},
      {"[\"\\u00e9\"]", "[\"\xc3\xa9\"]", true},
      {"[\"a\\nb\"]", "[\"a\\u000ab\"]", true},
      {"[null,true,{}]", "[null,false,{}]", false},
      {"{\"a\":{\"x\":1,\"y\":2}}", "{\"a\":{\"y\":2,\"x\":1}}", true},
      {"{\"a\":[],\"b\":1}", "{\"a\":[1],\"b\":1}", false},
      {"[[1],2]", "[1,[2]]", false},
  };
  for (auto const& line : table) {
    bool const equal = canonicalJson(line.one) == canonicalJson(line.other);
    CHECK_EQUAL_TEXT(line.equal, equal, line.one);
  }
}
TEST(canonicalJson, invalidJsonIsRefused) {
  string const deep(1000000, '['), objects = [] {
    string text;
    for (int i = 0; i < 100000; ++i) text += "{\"a\":";
    return text;
  }();
  for (string const& text : {string(), string("{"), string("[1]x"), string("{\"a\":1,\"a\":2}"), string("[01]"),
                             string("[\"\xff\"]"), string("[1e99999999999]"), string("nul"), deep, objects})
    CHECK_THROWS(Error, canonicalJson(text));
}
TEST(canonicalJson, digestIsSha256) {
  string shown;
  for (char const c : sha256("abc").value) shown += hex(static_cast<unsigned char>(c)).substr(14);
  STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", shown.c_str());
}
