#include "edge/request_plan.hpp"

namespace tealshelf {

namespace {
/// Reads `Prompt-Start`, parts as ID:TOKENS in order. The last part is the request's own; those before it are shared
/// with other requests and name the session.
void readPrompt(string_view header, PickRequest& pick) {
  vector<string> const parts = split(header, ',');
  string sharedParts;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    std::size_t const colon = parts[i].find(':');
    if (colon == string::npos) continue;
    std::optional<std::uint64_t> const tokens = parseNumber(string_view(parts[i]).substr(colon + 1));
    if (!tokens) continue;
    pick.promptTokens += *tokens;
    bool const shared = i + 1 < parts.size();
    if (!shared) continue;
    pick.sharedTokens += *tokens;
    sharedParts += parts[i];
  }
  pick.sessionKey = hash64(sharedParts);
}
}  // namespace

string hostOf(HttpRequest const& request) {
  string host(headerOf(request, "Host"));
  if (std::size_t const colon = host.find(':'); colon != string::npos) host.resize(colon);
  return host;
}

string_view headerOf(HttpRequest const& request, string_view name) {
  beast::string_view const value = request[beast::string_view(name.data(), name.size())];
  return string_view(value.data(), value.size());
}

RequestPlan planRequest(HttpRequest const& request, std::shared_ptr<Configuration const> configuration, TimePoint now) {
  RequestPlan plan;
  plan.configuration = std::move(configuration);
  plan.receivedAt = now;
  plan.attempt = string(headerOf(request, "Attempt-Id"));
  beast::string_view const target = request.target();
  if (plan.configuration)
    plan.route = plan.configuration->findRoute(hostOf(request), string_view(target.data(), target.size()));
  if (!plan.route) return plan;
  Route const& route = *plan.route;
  Ms limit = route.timeLimit;
  if (std::optional<std::uint64_t> const left = parseNumber(headerOf(request, "Time-Left-Ms")))
    limit = std::min(limit, Ms(static_cast<std::int64_t>(*left)));
  plan.deadline = now + limit;
  plan.tries = route.tries;
  plan.mayRepeat = route.mayRepeat();
  plan.isStream = route.kind == RouteKind::streaming;
  plan.pick.service = route.serviceFor(hash64(plan.attempt));
  readPrompt(headerOf(request, "Prompt-Start"), plan.pick);
  return plan;
}

}  // namespace tealshelf
