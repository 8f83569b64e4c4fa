#include "duties/platform_client.hpp"

namespace tealshelf {

namespace {
/// Fraction of the platform's rate limit that one holder uses.
constexpr double rateFraction = 0.5;
/// The longest time that a call waits for its answer, in leases.
constexpr int maxCallLeases = 3;

PlatformAnswer answerFor(unsigned status) {
  if (status >= 200 && status < 300) return PlatformAnswer::accepted;
  if (status == 409) return PlatformAnswer::superseded;
  if (status == 429 || status >= 500) return PlatformAnswer::busy;
  return PlatformAnswer::rejected;
}
}  // namespace

string_view nameOf(PlatformAnswer answer) {
  switch (answer) {
    case PlatformAnswer::accepted:
      return "taken";
    case PlatformAnswer::superseded:
      return "superseded";
    case PlatformAnswer::busy:
      return "busy";
    case PlatformAnswer::rejected:
      return "rejected";
    case PlatformAnswer::unanswered:
      return "unanswered";
    case PlatformAnswer::notHolder:
      return "not_holder";
  }
  return "";
}

PlatformClient::PlatformClient(asio::io_context& io, Settings const& settings, DutyLease const& lease)
    : io_(io),
      settings_(settings),
      lease_(lease),
      callInterval_(std::max<std::int64_t>(
          1, static_cast<std::int64_t>(1000 / (rateFraction * settings.provider.dutiesPerSecond)))) {}

Task<void> PlatformClient::waitForRateLimit() {
  TimePoint const callAt = std::max(nextCallAt_, Clock::now());
  nextCallAt_ = callAt + callInterval_;
  Ms const wait(remainingMs(callAt));
  if (wait > Ms(0)) co_await sleepFor(wait);
}

Task<PlatformAnswer> PlatformClient::call(PlatformCall call) {
  co_await waitForRateLimit();
  http::request<http::string_body> request(http::verb::post, call.path, 11);
  request.set(http::field::host, settings_.provider.address.text());
  request.set("Duty-Owner", settings_.nodeName);
  request.set("Fence-Number", std::to_string(lease_.fence()));
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(call.body);
  request.keep_alive(false);
  request.prepare_payload();
  co_return co_await exchange(request);
}

Task<PlatformAnswer> PlatformClient::exchange(http::request<http::string_body> const& request) {
  TimePoint const begin = Clock::now();
  if (!lease_.mayAct(begin)) co_return PlatformAnswer::notHolder;
  std::uint64_t const fence = lease_.fence();
  tcp::socket socket(io_);
  SocketDeadline deadline(io_, socket);
  Pending pending{&deadline, begin + maxCallLeases * settings_.bounds.lease};
  deadline.expireAt(std::min(lease_.endsAt(), pending.latestEnd));
  pending_.insert(&pending);
  error_code error;
  co_await socket.async_connect(endpointOf(settings_.provider.address),
                                asio::redirect_error(asio::use_awaitable, error));
  bool const mayStillSend = lease_.mayAct(Clock::now()) && lease_.fence() == fence;
  bool const isConnected = !error && !deadline.expired();
  http::response<http::string_body> response;
  if (isConnected && mayStillSend) {
    setSocketOptions(socket, maxCallLeases * settings_.bounds.lease);
    co_await http::async_write(socket, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    if (!error) co_await http::async_read(socket, buffer, response, asio::redirect_error(asio::use_awaitable, error));
  }
  pending_.erase(&pending);
  if (isConnected && !mayStillSend) co_return PlatformAnswer::notHolder;
  if (error || !isConnected) co_return PlatformAnswer::unanswered;
  co_return answerFor(response.result_int());
}

void PlatformClient::extendCallDeadlines() {
  for (Pending* const pending : pending_) pending->deadline->expireAt(std::min(lease_.endsAt(), pending->latestEnd));
}

}  // namespace tealshelf
