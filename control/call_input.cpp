#include "control/call_input.hpp"

#include <rapidjson/document.h>

namespace tealshelf {

namespace {
constexpr std::size_t maxIdLength = 128;
constexpr double maxDurationSeconds = 24 * 3600;
}  // namespace

string idInPath(string_view path, string_view prefix) {
  string_view const id = path.substr(std::min(prefix.size(), path.size()));
  if (id.empty() || id.size() > maxIdLength || path.substr(0, prefix.size()) != prefix) throw Error(ErrorCode::badId);
  for (char const c : id)
    if (c <= ' ' || c > '~' || string_view("/?#%\"\\").find(c) != string_view::npos) throw Error(ErrorCode::badId);
  return string(id);
}

void checkRetirement(string const& body) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject())
    throw Error(ErrorCode::badRetirement, "the body isn't a JSON object");
  rapidjson::Value::ConstMemberIterator const over = document.FindMember("overS");
  if (over == document.MemberEnd() || !over->value.IsNumber())
    throw Error(ErrorCode::badRetirement, "overS must be a number of seconds");
  double const seconds = over->value.GetDouble();
  if (!(seconds >= 0 && seconds <= maxDurationSeconds))
    throw Error(ErrorCode::badRetirement, "overS must be from 0 to a day");
}

Error errorForCaller(Error const& error, CallKind kind) {
  if (error.kind() != ErrorKind::undetermined || kind == CallKind::addition) return error;
  return Error(kind == CallKind::read ? ErrorCode::notReady : ErrorCode::changeUndecided, error.what());
}

}  // namespace tealshelf
