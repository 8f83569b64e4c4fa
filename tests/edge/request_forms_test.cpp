// Forms of requests that an edge node receives: rare ones that HTTP permits are served, ambiguous ones are refused,
// independently of how the bytes are split into reads.
#include "tests/edge/kept_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

namespace {
Script const answersForms{"", true, answerText(200, "$ID", "Server-Seal: s\r\n", "own $ID"), Script::End::keep, ""};
string const formHead = "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\n";
/// Step between the sizes of the pieces that a request is split into.
constexpr std::size_t cutStep = 29;

struct Form {
  char const* name;
  string text;
};

vector<Form> permittedForms() {
  string const chunks = "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"a length", formHead + "Content-Length: 4\r\n\r\nbody"},
      {"chunks", formHead + chunks + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"},
      {"a chunk extension", formHead + chunks + "4;a=b;c=\"d\"\r\nbody\r\n0\r\n\r\n"},
      {"a trailer", formHead + chunks + "4\r\nbody\r\n0\r\nX-Sum: 7\r\n\r\n"},
      {"upper-case chunked", formHead + "Transfer-Encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
      {"leading zeros of a chunk", formHead + chunks + "0004\r\nbody\r\n000\r\n\r\n"},
      {"no body", formHead + "Content-Length: 0\r\n\r\n"},
      {"blanks around a value", formHead + "Content-Length: \t 4 \t\r\n\r\nbody"},
      {"no blank behind the colon", formHead + "Content-Length:4\r\n\r\nbody"},
      {"lower-case names",
       "POST /once/x HTTP/1.1\r\nhost: shop.example\r\nattempt-id: id1\r\ncontent-length: 4\r\n\r\nbody"},
      {"a host with a port",
       "POST /once/x HTTP/1.1\r\nHost: shop.example:8144\r\nAttempt-Id: id1\r\nContent-Length: 4\r\n\r\nbody"},
      {"a host in upper case",
       "POST /once/x HTTP/1.1\r\nHost: Shop.EXAMPLE\r\nAttempt-Id: id1\r\nContent-Length: 4\r\n\r\nbody"},
      {"the absolute form",
       "POST http://shop.example/once/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\nContent-Length: "
       "4\r\n\r\nbody"},
      {"an empty header", formHead + "X-Empty:\r\nContent-Length: 4\r\n\r\nbody"},
      {"several options of a connection",
       formHead + "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nbody"},
      {"an empty line before it", "\r\n" + formHead + "Content-Length: 4\r\n\r\nbody"},
      {"a query",
       "POST /once/x?a=b&c=%20d HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\nContent-Length: 4\r\n\r\nbody"},
  };
}

vector<Form> ambiguousForms() {
  string const chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"a length and chunks", formHead + "Content-Length: 4\r\n" + chunked + "\r\n0\r\n\r\n"},
      {"chunks and a length", formHead + chunked + "Content-Length: 4\r\n\r\n0\r\n\r\n"},
      {"two lengths", formHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"},
      {"a list of lengths", formHead + "Content-Length: 4, 5\r\n\r\nbody!"},
      {"a negative length", formHead + "Content-Length: -4\r\n\r\nbody"},
      {"a signed length", formHead + "Content-Length: +4\r\n\r\nbody"},
      {"a length with more behind it", formHead + "Content-Length: 4x\r\n\r\nbody"},
      {"a length in hex", formHead + "Content-Length: 0x4\r\n\r\nbody"},
      {"an empty length", formHead + "Content-Length:\r\n\r\n"},
      {"a length too large", formHead + "Content-Length: 99999999999999999999999\r\n\r\n"},
      {"chunked twice", formHead + chunked + chunked + "\r\n0\r\n\r\n"},
      {"chunked not last", formHead + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"},
      {"an unknown coding", formHead + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"identity behind chunked", formHead + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"},
      {"a coding with a length", formHead + "Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nbody"},
      {"a chunk of no size", formHead + chunked + "\r\n\r\nbody\r\n0\r\n\r\n"},
      {"a chunk size that is none", formHead + chunked + "\r\ng\r\nbody\r\n0\r\n\r\n"},
      {"a signed chunk size", formHead + chunked + "\r\n+4\r\nbody\r\n0\r\n\r\n"},
      {"a chunk size too large", formHead + chunked + "\r\nFFFFFFFFFFFFFFFFFF\r\nbody\r\n0\r\n\r\n"},
      {"a chunk longer than its size", formHead + chunked + "\r\n3\r\nbody\r\n0\r\n\r\n"},
      {"a chunk with a bare line end", formHead + chunked + "\r\n4\nbody\r\n0\r\n\r\n"},
      {"a blank before the colon", formHead + "Content-Length : 4\r\n\r\nbody"},
      {"a blank before the first header", "POST /once/x HTTP/1.1\r\n Host: shop.example\r\nAttempt-Id: id1\r\n\r\n"},
      {"a folded header", formHead + "X-Long: a\r\n b\r\nContent-Length: 4\r\n\r\nbody"},
      {"a header folded by a tab", formHead + "X-Long: a\r\n\tb\r\nContent-Length: 4\r\n\r\nbody"},
      {"a folded header of no value", formHead + "X-Long:\r\n b\r\nContent-Length: 4\r\n\r\nbody"},
      {"a line of blanks before the body", formHead + "Content-Length: 4\r\n \r\nbody"},
      {"bare line ends", "POST /once/x HTTP/1.1\nHost: shop.example\nAttempt-Id: id1\nContent-Length: 4\n\nbody"},
      {"a bare return in a value", formHead + "X-Odd: a\rb\r\nContent-Length: 4\r\n\r\nbody"},
      {"a zero byte in a value", formHead + string("X-Odd: a\0b\r\n", 12) + "Content-Length: 4\r\n\r\nbody"},
      {"a header without a name", formHead + ": a\r\nContent-Length: 4\r\n\r\nbody"},
      {"a header without a colon", formHead + "Odd\r\nContent-Length: 4\r\n\r\nbody"},
      {"two hosts", formHead + "Host: other.example\r\nContent-Length: 4\r\n\r\nbody"},
      {"no host", "POST /once/x HTTP/1.1\r\nAttempt-Id: id1\r\nContent-Length: 4\r\n\r\nbody"},
      {"another version",
       "POST /once/x HTTP/2.0\r\nHost: shop.example\r\nAttempt-Id: id1\r\nContent-Length: 4\r\n\r\nbody"},
      {"no version", "POST /once/x\r\nHost: shop.example\r\nAttempt-Id: id1\r\n\r\n"},
      {"a method that is none",
       "PO(ST /once/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id1\r\nContent-Length: 4\r\n\r\nbody"},
  };
}

/// The result of a request that was sent in pieces.
struct Sent {
  Got got;
  std::size_t runs = 0;  ///< at workers
};
Sent sendInPieces(EdgeRig& rig, string const& text, std::size_t piece) {
  std::size_t const before = rig.sends();
  KeptClient client(rig);
  for (std::size_t at = 0; at < text.size(); at += piece) {
    client.send(string_view(text).substr(at, piece));
    if (at + piece < text.size()) rig.run(Ms(1));
  }
  Sent sent;
  sent.got = client.answer(false, Ms(1000));
  sent.runs = rig.sends() - before;
  return sent;
}

/// Piece sizes to test: the whole text, and a few smaller ones.
vector<std::size_t> piecesOf(string const& text) {
  return {text.size(), cutStep, 2 * cutStep + 1};
}

/// An edge node that is sent requests in different forms.
struct FormRig {
  EdgeRig rig{answersForms};
  /// Describes the forms whose answer has another status, or that ran another number of times; each is sent with
  /// several piece sizes.
  string failures(vector<Form> const& forms, int status, std::size_t runs) {
    string all;
    for (Form const& form : forms)
      for (std::size_t const piece : piecesOf(form.text)) {
        Sent const sent = sendInPieces(rig, form.text, piece);
        if (sent.got.status == status && sent.runs == runs) continue;
        all += string("; ") + form.name + " in pieces of " + std::to_string(piece) + " got " +
               std::to_string(sent.got.status) + " and ran " + std::to_string(sent.runs) + " times";
      }
    return all;
  }
};
}  // namespace

TEST_GROUP(requestForms) {
  FormRig forms;
  void setup() override {
    CHECK(forms.rig.prime());
  }
};

TEST(requestForms, permittedFormsAreServed) {
  STRCMP_EQUAL("", forms.failures(permittedForms(), 200, 1).c_str());
}
TEST(requestForms, ambiguousFormsReachNoWorker) {
  STRCMP_EQUAL("", forms.failures(ambiguousForms(), 400, 0).c_str());
}
TEST(requestForms, emptyLinesAfterABodyAreIgnored) {
  string const request = formHead + "Content-Length: 4\r\n\r\nbody";
  KeptClient client(forms.rig);
  client.send(request + "\r\n" + request);
  LONGS_EQUAL(200, client.answer().status);
  LONGS_EQUAL(200, client.answer().status);
  client.send("\r\n");
  forms.rig.run(Ms(20));
  client.send(request);
  LONGS_EQUAL(200, client.answer().status);
}
TEST(requestForms, aDisconnectedClientLeavesNoActiveRequest) {
  { KeptClient const silent(forms.rig); }
  {
    KeptClient partial(forms.rig);
    partial.send(formHead);
    forms.rig.run(Ms(20));
  }
  forms.rig.run(Ms(20));
  LONGS_EQUAL(0, forms.rig.activeRequests());
}
TEST(requestForms, anIncompleteHeadIsRefused) {
  KeptClient client(forms.rig);
  client.send(formHead);
  client.endSending();
  LONGS_EQUAL(400, client.answer().status);
}
TEST(requestForms, requestsOverTheLimitsGetTheirStatus) {
  Sent const head = sendInPieces(forms.rig, formHead + "X-Long: " + string(20000, 'x') + "\r\n\r\n", 1u << 20);
  LONGS_EQUAL(431, head.got.status);
  Sent const body = sendInPieces(forms.rig, formHead + "Content-Length: 99999999\r\n\r\n", 1u << 20);
  LONGS_EQUAL(413, body.got.status);
  LONGS_EQUAL(0, head.runs + body.runs);
}
