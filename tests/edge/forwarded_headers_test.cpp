#include "edge/forwarded_headers.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
vector<string> forwardedNames(http::fields const& message) {
  http::fields target;
  copyHeaders(message, target);
  vector<string> names;
  for (http::fields::value_type const& header : target)
    names.emplace_back(header.name_string().data(), header.name_string().size());
  return names;
}
}  // namespace

TEST_GROUP(forwardedHeaders) {
  http::fields message;
};

TEST(forwardedHeaders, endToEndHeadersAreForwarded) {
  message.insert("Host", "shop.example");
  message.insert("Model", "m");
  message.insert("X-Many", "1");
  message.insert("X-Many", "2");
  CHECK(forwardedNames(message) == (vector<string>{"Host", "Model", "X-Many", "X-Many"}));
}
TEST(forwardedHeaders, hopByHopHeadersAreDropped) {
  for (char const* const name : {"Connection", "keep-alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
                                 "Upgrade", "Content-Length"})
    message.insert(name, "x");
  CHECK(forwardedNames(message).empty());
}
TEST(forwardedHeaders, headersListedInConnectionAreDropped) {
  message.insert("Connection", "keep-alive, X-Hop");
  message.insert("X-hop", "1");
  message.insert("Model", "m");
  message.insert("Connection", "x-other");
  message.insert("X-Other", "2");
  CHECK(forwardedNames(message) == vector<string>{"Model"});
}
TEST(forwardedHeaders, identifyingHeadersAreAlwaysForwarded) {
  message.insert("Connection", "Host, attempt-id");
  message.insert("Host", "shop.example");
  message.insert("Attempt-Id", "a");
  CHECK(forwardedNames(message) == (vector<string>{"Host", "Attempt-Id"}));
}
