#include "configuration/canonical_json.hpp"

#include <nettle/sha2.h>
#include <rapidjson/document.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace tealshelf {

namespace {
/// Deeper than any configuration, and shallow enough for recursive readers.
constexpr std::size_t maxDepth = 32;
constexpr std::int64_t maxExponent = 1000000;

/// Writes a JSON number as DIGITSeEXPONENT without zeros at either end of the digits, so that 1, 1.0 and 10e-1 are
/// equal.
string canonicalNumber(string_view text) {
  bool const negative = text.front() == '-';
  if (negative) text.remove_prefix(1);
  std::size_t const exponentMark = text.find_first_of("eE");
  std::int64_t exponent = 0;
  if (exponentMark != string_view::npos) {
    string_view exponentText = text.substr(exponentMark + 1);
    bool const isNegative = exponentText.front() == '-';
    if (isNegative || exponentText.front() == '+') exponentText.remove_prefix(1);
    for (char const c : exponentText) exponent = std::min(maxExponent, exponent * 10 + (c - '0'));
    if (isNegative) exponent = -exponent;
  }
  string digits;
  bool inFraction = false;
  for (char const c : text.substr(0, exponentMark)) {
    if (c == '.') {
      inFraction = true;
      continue;
    }
    digits += c;
    if (inFraction) --exponent;
  }
  if (std::abs(exponent) >= maxExponent) throw Error(ErrorCode::unreadable, "the exponent of a number is too large");
  digits.erase(0, std::min(digits.find_first_not_of('0'), digits.size()));
  if (digits.empty()) return "0";
  while (digits.back() == '0') {
    digits.pop_back();
    ++exponent;
  }
  return (negative ? "-" : "") + digits + (exponent ? "e" + std::to_string(exponent) : "");
}

string canonicalString(string_view text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return string(buffer.GetString(), buffer.GetSize());
}

/// Handles the events of the parser and builds the canonical text of each open array or object.
class CanonicalHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, CanonicalHandler> {
 public:
  string result;

  bool Null() { return value("null"); }
  bool Bool(bool b) { return value(b ? "true" : "false"); }
  bool RawNumber(char const* s, rapidjson::SizeType n, bool) { return value(canonicalNumber(string_view(s, n))); }
  bool String(char const* s, rapidjson::SizeType n, bool) { return value(canonicalString(string_view(s, n))); }
  bool StartObject() { return start(); }
  bool StartArray() { return start(); }
  bool Key(char const* s, rapidjson::SizeType n, bool) {
    open_.back().key = canonicalString(string_view(s, n));
    return !open_.back().members.contains(open_.back().key);
  }
  bool EndObject(rapidjson::SizeType) {
    string text = "{";
    for (auto const& [name, memberText] : open_.back().members) {
      if (text.size() > 1) text += ',';
      text += name + ":" + memberText;
    }
    open_.pop_back();
    return value(text + "}");
  }
  bool EndArray(rapidjson::SizeType) {
    string const text = "[" + open_.back().elements + "]";
    open_.pop_back();
    return value(text);
  }

 private:
  struct Level {
    std::map<string, string> members;
    string elements, key;
  };
  bool start() {
    open_.emplace_back();
    return open_.size() <= maxDepth;
  }
  bool value(string const& text) {
    if (open_.empty()) {
      result = text;
      return true;
    }
    Level& level = open_.back();
    if (level.key.empty()) {
      if (!level.elements.empty()) level.elements += ',';
      level.elements += text;
    } else {
      level.members[level.key] = text;
    }
    return true;
  }
  vector<Level> open_;
};
}  // namespace

string canonicalJson(string_view text) {
  // The iterative parser keeps its state on the heap, so that deep nesting can't exhaust the stack.
  constexpr unsigned flags =
      rapidjson::kParseIterativeFlag | rapidjson::kParseNumbersAsStringsFlag | rapidjson::kParseValidateEncodingFlag;
  rapidjson::MemoryStream bytes(text.data(), text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> input(bytes);
  CanonicalHandler handler;
  rapidjson::Reader reader;
  if (reader.Parse<flags>(input, handler).IsError())
    throw Error(ErrorCode::unreadable, "the text isn't valid JSON, nests too deeply, or repeats a member of an object");
  return handler.result;
}

Digest sha256(string_view bytes) {
  sha256_ctx state;
  sha256_init(&state);
  sha256_update(&state, bytes.size(), reinterpret_cast<std::uint8_t const*>(bytes.data()));
  string digest(SHA256_DIGEST_SIZE, '\0');
  sha256_digest(&state, digest.size(), reinterpret_cast<std::uint8_t*>(digest.data()));
  return Digest(digest);
}

}  // namespace tealshelf
