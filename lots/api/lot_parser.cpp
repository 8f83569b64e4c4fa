#include "lots/api/lot_parser.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

namespace {
constexpr std::size_t maxItems = 200;
/// Limit for an id, a path, and a header's name or value: a request can't hold more.
constexpr std::size_t maxTextBytes = std::numeric_limits<std::uint16_t>::max() - 2;

constexpr std::array<signed char, 256> makeBase64Digits() {
  std::array<signed char, 256> digits{};
  for (signed char& digit : digits) digit = -1;
  for (int i = 0; i < 26; ++i) {
    digits[static_cast<std::size_t>('A' + i)] = static_cast<signed char>(i);
    digits[static_cast<std::size_t>('a' + i)] = static_cast<signed char>(26 + i);
  }
  for (int i = 0; i < 10; ++i) digits[static_cast<std::size_t>('0' + i)] = static_cast<signed char>(52 + i);
  digits['+'] = 62;
  digits['/'] = 63;
  return digits;
}
constexpr std::array<signed char, 256> base64Digits = makeBase64Digits();

/// Characters that could end a header or the request line, and so inject another one.
string const forbiddenCharacters("\r\n\0", 3);

string textOf(rapidjson::Value const& value) {
  return string(value.GetString(), value.GetStringLength());
}

string requiredText(rapidjson::Value const& object, char const* name) {
  if (!object.HasMember(name) || !object[name].IsString())
    throw Error(ErrorCode::lotUnreadable, string("an item's ") + name + " is missing or not a string");
  return textOf(object[name]);
}

/// True for a text without line breaks or NUL that fits into a request.
bool isOneLine(string const& text) {
  return text.size() <= maxTextBytes && text.find_first_of(forbiddenCharacters) == string::npos;
}

bool isSafeHeader(HeaderField const& header) {
  bool const oneLine = isOneLine(header.name) && isOneLine(header.value);
  return oneLine && !header.name.empty() && header.name.find_first_of(": ") == string::npos;
}

bool isSafePath(string const& path) {
  return isOneLine(path) && path.starts_with('/') && path.find(' ') == string::npos;
}

vector<HeaderField> parseHeaders(rapidjson::Value const& item) {
  vector<HeaderField> headers;
  if (!item.HasMember("headerMap")) return headers;
  rapidjson::Value const& map = item["headerMap"];
  if (!map.IsObject()) throw Error(ErrorCode::lotUnreadable, "headerMap is not an object");
  for (rapidjson::Value::Member const& member : map.GetObject()) {
    if (!member.value.IsString()) throw Error(ErrorCode::lotUnreadable, "a value in headerMap is not a string");
    HeaderField const header{textOf(member.name), textOf(member.value)};
    if (!isSafeHeader(header)) throw Error(ErrorCode::lotUnreadable, "headerMap has an invalid header");
    headers.push_back(header);
  }
  return headers;
}

string parsePayload(rapidjson::Value const& item, string const& id) {
  if (!item.HasMember("payload")) return "";
  rapidjson::Value const& payload = item["payload"];
  if (!payload.IsString()) throw Error(ErrorCode::badItemPayload, id);
  std::optional<string> decoded = decodeBase64(string_view(payload.GetString(), payload.GetStringLength()));
  if (!decoded) throw Error(ErrorCode::badItemPayload, id);
  return std::move(*decoded);
}

std::uint64_t parseTokens(rapidjson::Value const& item) {
  bool const valid = item.HasMember("tokens") && item["tokens"].IsNumber() && item["tokens"].GetDouble() >= 0;
  if (!valid) throw Error(ErrorCode::lotUnreadable, "an item's tokens is missing, negative or not a number");
  return static_cast<std::uint64_t>(item["tokens"].GetDouble());
}

ItemRecord parseItem(rapidjson::Value const& value, std::set<string>& ids) {
  if (!value.IsObject()) throw Error(ErrorCode::lotUnreadable, "an item is not an object");
  ItemRecord item;
  item.id = requiredText(value, "serverId");
  item.path = requiredText(value, "urlPath");
  bool const sendable = !item.id.empty() && isOneLine(item.id) && isSafePath(item.path);
  if (!sendable)
    throw Error(ErrorCode::lotUnreadable, "an item's serverId or urlPath is empty or can't be sent in a request");
  if (!ids.insert(item.id).second) throw Error(ErrorCode::duplicateItem, item.id);
  item.headers = parseHeaders(value);
  item.body = parsePayload(value, item.id);
  item.tokens = parseTokens(value);
  return item;
}
}  // namespace

std::optional<string> decodeBase64(string_view text) {
  if (text.size() % 4) return std::nullopt;
  string bytes;
  bytes.reserve(text.size() / 4 * 3);
  for (std::size_t group = 0; group < text.size(); group += 4) {
    bool const lastGroup = group + 4 == text.size();
    std::uint32_t bits = 0;
    int padding = 0;
    for (std::size_t place = 0; place < 4; ++place) {
      char const c = text[group + place];
      bits <<= 6;
      if (c == '=' && lastGroup && place >= 2) {
        ++padding;
        continue;
      }
      signed char const digit = base64Digits[static_cast<unsigned char>(c)];
      if (digit < 0 || padding) return std::nullopt;
      bits |= static_cast<std::uint32_t>(digit);
    }
    bytes += static_cast<char>(bits >> 16);
    if (padding < 2) bytes += static_cast<char>(bits >> 8);
    if (padding < 1) bytes += static_cast<char>(bits);
  }
  return bytes;
}

vector<ItemRecord> parseLot(string const& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  bool const valid = !document.HasParseError() && document.IsObject() && document.HasMember("requests") &&
                     document["requests"].IsArray();
  if (!valid) throw Error(ErrorCode::lotUnreadable, "the body is not a JSON object with an array of requests");
  rapidjson::Value const& requests = document["requests"];
  if (requests.Size() > maxItems)
    throw Error(ErrorCode::lotTooManyItems, std::to_string(requests.Size()) + "; at most " + std::to_string(maxItems));
  if (requests.Empty()) throw Error(ErrorCode::lotUnreadable, "requests is empty");
  vector<ItemRecord> items;
  std::set<string> ids;
  for (rapidjson::Value const& request : requests.GetArray()) items.push_back(parseItem(request, ids));
  return items;
}

}  // namespace tealshelf
