#include "traffic/warm_up_gate.hpp"

#include "traffic/exchange.hpp"

namespace tealshelf {

namespace {
/// The timeout of a health request is this part of inTouch.
constexpr int healthProbeTimeoutDivisor = 16;

/// The remaining warm-up time that a worker reports; std::nullopt if it doesn't report that it is healthy.
std::optional<Ms> warmUpLeft(Exchange const& exchange) {
  bool const isWell = exchange.status() == 200 && exchange.header("Server-Id") == exchange.worker().id;
  if (!isWell) return std::nullopt;
  return Ms(std::strtoll(exchange.header("Warm-Up-Ms").c_str(), nullptr, 10));
}

HttpRequest healthRequest(Worker const& worker, string const& healthPath) {
  HttpRequest request(http::verb::get, healthPath, 11);
  request.set(http::field::host, worker.address.text());
  request.set("Wanted-Server", worker.id);
  return request;
}
}  // namespace

WarmUpGate::WarmUpGate(Settings const& settings, RpcClient& rpc, FleetView& view, ConnectionPool& pool)
    : settings_(settings),
      view_(view),
      pool_(pool),
      credits_(settings, rpc, view, CreditKind::warmUp, warmUpCreditLife(), warmUpWindow) {}

WarmUpStep WarmUpGate::stepFor(FleetView::WarmUp const& warmUp) const {
  return warmUpStep({warmUp.service != nullptr, warmUp.mayBeUnderWay, view_.isFresh()});
}

Task<WarmUpGate::Admission> WarmUpGate::ask(Worker worker, TimePoint until) {
  FleetView::WarmUp const warmUp = view_.warmUpOf(worker);
  WarmUpStep const step = stepFor(warmUp);
  if (step == WarmUpStep::send) co_return Admission();
  // Copied: the configuration may change while this waits.
  ServiceSettings const service = *warmUp.service;
  Admission admission{false, TimePoint::max()};
  if (step == WarmUpStep::takeCredit)
    admission = co_await takeCredit(worker, warmUpAllowance(service, settings_.bounds), until);
  else if (step == WarmUpStep::probe)
    admission = co_await probe(worker, service.healthPath, until);
  if (!admission.isGranted) denied_.increment();
  co_return admission;
}

Task<WarmUpGate::Admission> WarmUpGate::takeCredit(Worker worker, RateAllowance limit, TimePoint until) {
  if (!grantsAnything(limit)) co_return Admission{false, TimePoint::max()};
  CreditClient::Outcome const outcome = co_await credits_.take(worker.id, limit, until);
  if (!outcome.credit) co_return Admission{false, TimePoint::max()};
  co_return Admission{true, outcome.credit->expiresAt};
}

Task<WarmUpGate::Admission> WarmUpGate::probe(Worker worker, string healthPath, TimePoint until) {
  if (healthPath.empty()) co_return Admission{false, TimePoint::max()};
  Ms const inTouch = settings_.bounds.inTouch;
  TimePoint const askedAt = Clock::now();
  HttpRequest const request = healthRequest(worker, healthPath);
  Exchange exchange(pool_, worker, true);
  probes_.increment();
  SendResult const result =
      co_await exchange.send(request, "", std::min(until, askedAt + inTouch / healthProbeTimeoutDivisor));
  if (result != SendResult::answered) co_return Admission{false, TimePoint::max(), true};
  if (warmUpLeft(exchange) != Ms(0)) co_return Admission{false, TimePoint::max()};
  string body;
  BodyState state = BodyState::partial;
  while (state == BodyState::partial)
    state = co_await exchange.readBody(body, askedAt + inTouch / healthProbeTimeoutDivisor);
  if (state == BodyState::complete) exchange.release();
  co_return Admission{true, Clock::now() + warmUpProbeTrust(settings_.bounds)};
}

}  // namespace tealshelf
