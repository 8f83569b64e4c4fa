#include "wire/request_head.hpp"

namespace tealshelf {

namespace {
constexpr string_view lineEnd = "\r\n";
/// Some clients send an empty line or two after a body; the parser refuses more than this number.
constexpr std::size_t maxEmptyLines = 4;

bool isBlank(char byte) {
  return byte == ' ' || byte == '\t';
}
}  // namespace

std::size_t emptyLinesLength(string_view bytes) {
  std::size_t length = 0;
  while (length < maxEmptyLines * lineEnd.size() && bytes.substr(length).starts_with(lineEnd)) length += lineEnd.size();
  return length;
}

HeadState HeadScan::stateOf(string_view bytes) {
  for (;;) {
    // The line before may be continued by the first byte of this one.
    if (lineStart_ > 0 && lineStart_ < bytes.size() && isBlank(bytes[lineStart_])) return HeadState::folded;
    std::size_t const newline = bytes.find('\n', lineStart_);
    if (newline == string_view::npos) return HeadState::incomplete;
    bool const isBare = newline == 0 || bytes[newline - 1] != '\r';
    bool const isEmpty = newline == lineStart_ + 1;
    if (isBare || isEmpty) return HeadState::complete;
    lineStart_ = newline + 1;
  }
}

}  // namespace tealshelf
