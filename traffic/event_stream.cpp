#include "traffic/event_stream.hpp"

namespace tealshelf {

namespace {
/// The value of a field of an event, if the line is that field.
std::optional<string_view> fieldValue(string_view line, string_view field) {
  if (line.substr(0, field.size()) != field) return std::nullopt;
  line.remove_prefix(field.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}
}  // namespace

string EventStreamReader::feed(string_view bytes) {
  partial_.append(bytes);
  std::size_t complete = 0;
  for (;;) {
    std::size_t const newline = partial_.find("\n\n", complete);
    std::size_t const carriageReturn = partial_.find("\r\n\r\n", complete);
    if (newline == string::npos && carriageReturn == string::npos) break;
    std::size_t const end = std::min(newline == string::npos ? newline : newline + 2,
                                     carriageReturn == string::npos ? carriageReturn : carriageReturn + 4);
    parseEvent(string_view(partial_).substr(complete, end - complete));
    complete = end;
  }
  string events = partial_.substr(0, complete);
  partial_.erase(0, complete);
  return events;
}

void EventStreamReader::parseEvent(string_view event) {
  while (!event.empty()) {
    std::size_t const newline = event.find('\n');
    string_view line = event.substr(0, newline);
    event.remove_prefix(newline == string_view::npos ? event.size() : newline + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    parseLine(line);
  }
}

void EventStreamReader::parseLine(string_view line) {
  if (std::optional<string_view> const value = fieldValue(line, "id:")) {
    if (std::optional<std::uint64_t> const id = parseNumber(*value)) {
      lastId_ = *id;
      hasEvents_ = true;
    }
    return;
  }
  if (!data) return;
  if (std::optional<string_view> const value = fieldValue(line, "data:")) {
    if (!data->empty()) *data += '\n';
    data->append(*value);
  }
}

void EventPace::note(std::uint64_t lastId, TimePoint now) {
  if (!firstId_) {
    firstId_ = lastId;
    firstAt_ = now;
  }
  lastId_ = lastId;
  lastAt_ = now;
}

std::optional<double> EventPace::millisecondsPerEvent() const {
  if (!firstId_ || lastId_ <= *firstId_) return std::nullopt;
  std::chrono::duration<double, std::milli> const span = lastAt_ - firstAt_;
  return span.count() / static_cast<double>(lastId_ - *firstId_);
}

}  // namespace tealshelf
