#include "edge/request_plan.hpp"

#include "traffic/prompt_prefix.hpp"

namespace tealshelf {

namespace {
/// Makes the choice of a version independent of that of a service.
constexpr std::uint64_t versionDrawSeed = 7;

void readPrompt(string_view header, PickRequest& pick) {
  PromptPrefix const prefix = PromptPrefix::parse(header);
  pick.sessionKey = prefix.sharedKey;
  pick.sharedTokens = prefix.sharedTokens;
  pick.promptTokens = prefix.promptTokens;
}
}  // namespace

string hostOf(HttpRequest const& request) {
  string host(headerOf(request, "Host"));
  if (std::size_t const colon = host.find(':'); colon != string::npos) host.resize(colon);
  return lowerCase(std::move(host));
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
  KeyRequirement const keyNeed = route.isPublic ? KeyRequirement::optional : KeyRequirement::required;
  plan.caller = identifyCaller(*plan.configuration, request, keyNeed);
  Ms limit = route.timeLimit;
  if (std::optional<std::uint64_t> const left = parseNumber(headerOf(request, "Time-Left-Ms")))
    limit = std::min(limit, Ms(static_cast<std::int64_t>(*left)));
  plan.deadline = now + limit;
  plan.tries = route.tries;
  plan.mayRepeat = route.mayRepeat();
  plan.isStream = route.kind == RouteKind::streaming;
  plan.pick.service = route.serviceFor(hash64(plan.attempt));
  plan.pick.draw = hash64(plan.attempt, versionDrawSeed);
  readPrompt(headerOf(request, "Prompt-Start"), plan.pick);
  return plan;
}

}  // namespace tealshelf
