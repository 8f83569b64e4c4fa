#include "control/capacity_controller.hpp"

#include "base/json_fields.hpp"

namespace tealshelf {

namespace {
/// How often the number of workers is evaluated.
constexpr int decisionsPerLease = 6;

string orderBody(string const& service, ScalingOrder const& order) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writeField(writer, "service", service);
  writeField(writer, "zone", order.zone);
  writeField(writer, "wanted", order.wanted);
  writer.EndObject();
  return string(buffer.GetString(), buffer.GetSize());
}
}  // namespace

CapacityController::CapacityController(asio::io_context& io, Settings const& settings, DutyHolder& duties,
                                       WorkerDirectory const& workers, EvacuationHandler const& evacuations)
    : io_(io),
      settings_(settings),
      duties_(duties),
      workers_(workers),
      evacuations_(evacuations),
      backoff_(settings.bounds.lease),
      accepted_(metrics().counter("tealshelf_capacity_orders_total", "Orders of workers by their answer",
                                  {{"end", "taken"}})),
      failed_(metrics().counter("tealshelf_capacity_orders_total", "", {{"end", "not_taken"}})) {}

void CapacityController::start() {
  bool const isDuty = settings_.provider.exists() && settings_.provider.hasDuty(scalingDuty);
  if (isDuty) spawnTask(io_, "capacity", orderLoop());
}

ScalingInputs CapacityController::inputsFor(ServiceSettings const& service,
                                            std::map<string, ServiceLoad> const& allLoads) const {
  ScalingInputs inputs;
  inputs.scaling = service.scaling.value_or(ServiceScaling());
  inputs.slotsPerWorker = service.capacity;
  for (auto const& [zone, count] : workers_.zonesOf(service.name)) {
    inputs.zones[zone] = ZoneWorkers{count.workers, evacuations_.isActive(zone)};
    if (!inputs.slotsPerWorker) inputs.slotsPerWorker = count.slots / count.workers;
  }
  auto const load = allLoads.find(service.name);
  if (load != allLoads.end()) inputs.load = load->second;
  inputs.isRollingOut = isRollingOut && isRollingOut(service.name);
  return inputs;
}

Task<void> CapacityController::orderLoop() {
  for (;;) {
    co_await sleepFor(std::max(backoff_.pause(), settings_.bounds.lease / decisionsPerLease));
    if (duties_.mayAct()) co_await decideAll();
  }
}

Task<void> CapacityController::decideAll() {
  // Another holder may have placed orders since this node's last claim.
  if (fence_ != duties_.fence()) policies_.clear();
  fence_ = duties_.fence();
  std::shared_ptr<Configuration const> const present = configuration();
  if (!present) co_return;
  std::map<string, ServiceLoad> const allLoads = loads();
  for (auto const& [name, service] : present->services) {
    if (!service.scaling) continue;
    ScalingDecision const decision = policies_[name].decide(inputsFor(service, allLoads), Clock::now());
    for (ScalingOrder const& wanted : decision.orders) {
      if (!duties_.mayAct() || fence_ != duties_.fence()) co_return;
      bool const isAccepted = co_await order(name, wanted, decision.reason);
      if (!isAccepted) co_return backoff_.recordNotAccepted();
      backoff_.recordAccepted();
    }
  }
}

Task<bool> CapacityController::order(string service, ScalingOrder order, string reason) {
  PlatformCall call{"/capacity", orderBody(service, order)};
  PlatformAnswer const answer = co_await duties_.call(std::move(call));
  bool const isAccepted = answer == PlatformAnswer::accepted;
  (isAccepted ? accepted_ : failed_).increment();
  if (isAccepted) policies_[service].noteOrdered(order, Clock::now());
  logInfo("duties", "ordered a total of " + std::to_string(order.wanted) + " workers of service " + service +
                        " in zone " + order.zone + " (" + reason +
                        "); answer of the platform: " + string(nameOf(answer)));
  co_return isAccepted;
}

vector<CapacityController::View> CapacityController::views() const {
  vector<View> views;
  std::shared_ptr<Configuration const> const present = configuration();
  if (!present) return views;
  std::map<string, ServiceLoad> const allLoads = loads();
  for (auto const& [name, service] : present->services) {
    if (!service.scaling) continue;
    View view{name, inputsFor(service, allLoads), {}, {}};
    auto const policy = policies_.find(name);
    // A copy, as a decision changes the policy's state.
    ScalingPolicy preview = policy == policies_.end() ? ScalingPolicy() : policy->second;
    view.ordered = preview.ordered();
    view.decision = preview.decide(view.inputs, Clock::now());
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace tealshelf
