#include "tools/soak/stand_in_platform.hpp"

#include <rapidjson/document.h>

#include <iostream>

namespace tealshelf::soak {

namespace {
constexpr int platformBacklog = 64;
constexpr Ms minBehaviorDuration{500}, maxBehaviorDuration{3000}, minSlowDelay{400}, maxSlowDelay{1600}, silence{20000};
constexpr double normalBehaviorShare = 0.6, platformAnswerLostShare = 0.1;

string_view nameOf(PlatformBehavior behavior) {
  switch (behavior) {
    case PlatformBehavior::normal:
      return "well";
    case PlatformBehavior::busy:
      return "busy";
    case PlatformBehavior::silent:
      return "silent";
    case PlatformBehavior::resets:
      return "resets";
    case PlatformBehavior::slow:
      return "slow";
  }
  return "";
}

string textOf(HttpRequest const& request, string_view name) {
  beast::string_view const value = request[beast::string_view(name.data(), name.size())];
  return string(value.data(), value.size());
}

/// Nothing if the request isn't a valid call of a duty.
std::optional<DutyCall> dutyCallFrom(HttpRequest const& request) {
  DutyCall call;
  call.owner = textOf(request, "Duty-Owner");
  call.body = request.body();
  std::optional<std::uint64_t> const fence = parseNumber(textOf(request, "Fence-Number"));
  rapidjson::Document body;
  body.Parse(call.body.data(), call.body.size());
  if (!fence || call.owner.empty() || body.HasParseError() || !body.IsObject()) return std::nullopt;
  call.fence = *fence;
  if (request.target() == "/usage") {
    bool const isReport = body.HasMember("windowNumber") && body["windowNumber"].IsInt64() && body.HasMember("counts");
    if (!isReport) return std::nullopt;
    call.subject = "usage";
    call.window = body["windowNumber"].GetInt64();
    return call;
  }
  bool const isOrder = request.target() == "/capacity" && body.HasMember("service") && body["service"].IsString() &&
                       body.HasMember("zone") && body["zone"].IsString() && body.HasMember("wanted") &&
                       body["wanted"].IsUint64();
  if (!isOrder) return std::nullopt;
  call.subject = string("capacity of ") + body["service"].GetString() + " in " + body["zone"].GetString();
  return call;
}
}  // namespace

StandInPlatform::StandInPlatform(asio::io_context& io, PlatformOptions const& options)
    : io_(io),
      options_(options),
      random_(options.seed, "platform"),
      ledger_(Ms(options.leaseMs)),
      listener_(io, *parseAddress(options.at), platformBacklog) {}

void StandInPlatform::start() {
  listener_.start("platform", [this](tcp::socket socket) {
    spawnTask(io_, "platform call", serve(std::make_shared<tcp::socket>(std::move(socket))));
  });
  spawnTask(io_, "platform recovery", awaitRecovery());
  if (!options_.neverMisbehaves) spawnTask(io_, "platform behavior", changeBehavior());
}

Task<void> StandInPlatform::awaitRecovery() {
  asio::signal_set signals(io_, recoverySignal);
  co_await signals.async_wait(asio::use_awaitable);
  options_.neverMisbehaves = true;
  behavior_ = PlatformBehavior::normal;
  print("normal behavior from now on");
}

Task<void> StandInPlatform::changeBehavior() {
  vector<PlatformBehavior> const bad{PlatformBehavior::busy, PlatformBehavior::silent, PlatformBehavior::resets,
                                     PlatformBehavior::slow};
  while (!options_.neverMisbehaves) {
    behavior_ = random_.chance(normalBehaviorShare) ? PlatformBehavior::normal : random_.pick(bad);
    print("behavior " + string(nameOf(behavior_)));
    co_await sleepFor(random_.duration(minBehaviorDuration, maxBehaviorDuration));
  }
}

Task<void> StandInPlatform::serve(std::shared_ptr<tcp::socket> socket) {
  beast::flat_buffer buffer;
  HttpRequest request;
  error_code error;
  co_await http::async_read(*socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  co_await answer(*socket, request);
  socket->close(error);
}

Task<void> StandInPlatform::answer(tcp::socket& socket, HttpRequest const& request) {
  PlatformBehavior const behavior = behavior_;
  if (behavior == PlatformBehavior::slow) co_await sleepFor(random_.duration(minSlowDelay, maxSlowDelay));
  bool const isRead = behavior == PlatformBehavior::normal || behavior == PlatformBehavior::slow;
  int const status = isRead ? statusFor(request) : 503;
  if (status != 200) print("not accepted, behavior " + string(nameOf(behavior)) + ", status " + std::to_string(status));
  bool const resets =
      behavior == PlatformBehavior::resets || (!options_.neverMisbehaves && random_.chance(platformAnswerLostShare));
  if (behavior == PlatformBehavior::silent) co_await sleepFor(silence);
  if (resets || behavior == PlatformBehavior::silent) {
    socket.set_option(asio::socket_base::linger(true, 0));
    co_return;
  }
  HttpReply reply{status, "{}", "application/json", {}};
  http::response<http::string_body> response = makeResponse(std::move(reply), 11, false);
  error_code error;
  co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
}

void StandInPlatform::print(string const& text) const {
  std::cout << std::chrono::duration_cast<Ms>(Clock::now() - startedAt_).count() << " ms " << text << std::endl;
}

int StandInPlatform::statusFor(HttpRequest const& request) {
  TimePoint const now = Clock::now();
  while (!calls_.empty() && now - calls_.front() >= std::chrono::seconds(1)) calls_.pop_front();
  calls_.push_back(now);
  if (static_cast<double>(calls_.size()) > options_.callsPerSecond) return 429;
  std::optional<DutyCall> const call = dutyCallFrom(request);
  if (call) return acceptCall(*call);
  std::cout << "FAILED Duty: invalid call of a duty: " << request.target() << " " << request.body() << std::endl;
  return 400;
}

int StandInPlatform::acceptCall(DutyCall const& call) {
  if (!ledger_.admit(call)) return 409;
  for (string const& violation : ledger_.record(call, Clock::now()))
    std::cout << "FAILED ONE: " << violation << std::endl;
  print("taken " + call.subject + " " + std::to_string(call.window.value_or(0)) + " by " + call.owner +
        " under fence " + std::to_string(call.fence) + ", gaps " + std::to_string(ledger_.gaps()));
  return 200;
}

int runPlatform(PlatformOptions const& options) {
  asio::io_context io{1};
  StandInPlatform platform(io, options);
  platform.start();
  io.run();
  return 0;
}

}  // namespace tealshelf::soak
