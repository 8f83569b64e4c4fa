#include "lots/api/lot_parser.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

TEST_GROUP(lotParser){};

TEST(lotParser, readsItems) {
  vector<ItemRecord> const items = parseLot(
      "{\"requests\":[{\"serverId\":\"a\",\"urlPath\":\"/p/"
      "1\",\"headerMap\":{\"Model\":\"m\"},\"payload\":\"q83vEjRWeJA=\",\"tokens\":940}]}");
  LONGS_EQUAL(1, items.size());
  LONGS_EQUAL(8, items[0].body.size());
  LONGS_EQUAL(0xab, static_cast<unsigned char>(items[0].body[0]));
  LONGS_EQUAL(940, items[0].tokens);
}
TEST(lotParser, refusesInvalidLotsWithTheirErrorCode) {
  auto const code = [](string const& body) {
    try {
      parseLot(body);
    } catch (Error const& error) {
      return static_cast<int>(error.code());
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
  string tooManyItems = "{\"requests\":[";
  for (int i = 0; i < 201; ++i)
    tooManyItems +=
        string(i ? "," : "") + "{\"serverId\":\"a" + std::to_string(i) + "\",\"urlPath\":\"/p\",\"tokens\":1}";
  LONGS_EQUAL(301, code(tooManyItems + "]}"));
}
/// An item that can't be sent to a worker unchanged must be refused: it would never get a result.
TEST(lotParser, refusesItemsThatCannotBeSent) {
  auto const isTaken = [](string const& id, string const& path, string const& header) {
    try {
      parseLot("{\"requests\":[{\"serverId\":\"" + id + "\",\"urlPath\":\"" + path + "\",\"headerMap\":{\"X\":\"" +
               header + "\"},\"tokens\":1}]}");
    } catch (Error const& error) {
      CHECK(error.code() == ErrorCode::lotUnreadable);
      return false;
    }
    return true;
  };
  CHECK(isTaken("a", "/p", "x y"));
  CHECK(isTaken("a", "/p", string(60000, 'x')));
  CHECK_FALSE(isTaken("a", "/p", string(70000, 'x')));
  CHECK_FALSE(isTaken("a\\r\\nB: c", "/p", "x"));
  CHECK_FALSE(isTaken(string(70000, 'a'), "/p", "x"));
  CHECK_FALSE(isTaken("a", "/p HTTP/1.1\\r\\nB: c", "x"));
  CHECK_FALSE(isTaken("a", "/p q", "x"));
  CHECK_FALSE(isTaken("a", "/p\\u0000", "x"));
}
TEST(lotParser, base64IsStrict) {
  STRCMP_EQUAL("A", decodeBase64("QQ==").value().c_str());
  STRCMP_EQUAL("", decodeBase64("").value().c_str());
  CHECK_FALSE(decodeBase64("QQ=").has_value());
  CHECK_FALSE(decodeBase64("Q=Q=").has_value());
  CHECK_FALSE(decodeBase64("QQ==QQ==").has_value());
}
