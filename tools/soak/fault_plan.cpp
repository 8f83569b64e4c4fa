#include "tools/soak/fault_plan.hpp"

namespace tealshelf::soak {

namespace {
constexpr Ms maxStartDelay{2500}, minFaultLength{800}, maxFaultLength{5000}, groupFaultLength{2000};
constexpr double oneWayShare = 0.3, afterAcknowledgementShare = 0.4, afterLotShare = 0.5, allOthersShare = 0.7,
                 everyoneShare = 0.6, seriesShare = 0.4;
constexpr int maxRepeats = 4;

bool mayBeRepeated(FaultKind kind) {
  return kind == FaultKind::killNode || kind == FaultKind::workerCrash || kind == FaultKind::terminate ||
         kind == FaultKind::hangUp || kind == FaultKind::evacuate;
}

bool hitsSeveralCountedNodes(FaultKind kind) {
  return kind == FaultKind::killAllControl || kind == FaultKind::killAllStores || kind == FaultKind::split;
}

bool hitsCountedNode(FaultKind kind) {
  return kind != FaultKind::edgeCut && kind != FaultKind::workerCrash && kind != FaultKind::hangUp &&
         kind != FaultKind::evacuate;
}
}  // namespace

string Fault::describe(Topology const& topology) const {
  string text = string(nameOf(kind)) + " at " + std::to_string(startDelay.count()) + " ms for " +
                std::to_string(duration.count()) + " ms";
  if (afterAcknowledgement) text += afterLot ? " after a lot's acknowledgement" : " after an acknowledgement";
  if (oneWay) text += " one way";
  if (repeats > 1) text += ", " + std::to_string(repeats) + " times";
  if (!zone.empty()) text += " " + zone;
  for (std::size_t const node : nodes)
    text += " " + (kind == FaultKind::workerCrash ? "worker-" + std::to_string(node) : topology.nodes[node].name);
  if (!alsoKilled.empty()) text += "; killed at the same moment:";
  for (std::size_t const node : alsoKilled) text += " " + topology.nodes[node].name;
  return text;
}

vector<std::size_t> FaultPlanner::nodesOf(NodeRole role) const {
  vector<std::size_t> found;
  for (std::size_t index = 0; index < topology_.nodes.size(); ++index)
    if (topology_.nodes[index].role == role) found.push_back(index);
  return found;
}

vector<std::size_t> FaultPlanner::nodesWithDisk() const {
  vector<std::size_t> found = nodesWithDisk(NodeRole::control);
  for (std::size_t const store : nodesWithDisk(NodeRole::store)) found.push_back(store);
  return found;
}

vector<std::size_t> FaultPlanner::nodesWithDisk(NodeRole role) const {
  vector<std::size_t> found = nodesOf(role);
  std::erase_if(found, [this](std::size_t index) { return !topology_.nodes[index].hasDisk; });
  return found;
}

/// A random half of the nodes, rounded down.
vector<std::size_t> FaultPlanner::halfOf(vector<std::size_t> nodes) {
  vector<std::size_t> half;
  std::size_t const wanted = nodes.size() / 2;
  while (half.size() < wanted) {
    std::size_t const index = random_.index(nodes.size());
    half.push_back(nodes[index]);
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return half;
}

Fault FaultPlanner::loseDisks() {
  Fault fault;
  fault.kind = FaultKind::loseDisk;
  fault.duration = random_.duration(minFaultLength, groupFaultLength);
  fault.afterAcknowledgement = random_.chance(afterAcknowledgementShare);
  fault.afterLot = afterLotRandom_.chance(afterLotShare);
  vector<std::size_t> candidates = nodesWithDisk();
  for (int i = 0; i < options_.survive; ++i) {
    std::size_t const index = random_.index(candidates.size());
    fault.nodes.push_back(candidates[index]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return fault;
}

Fault FaultPlanner::drawFault(FaultKind kind) {
  Fault fault;
  if (kind == FaultKind::loseDisk) fault = loseDisks();
  fault.kind = kind;
  if (fault.duration == Ms(0)) fault.duration = random_.duration(minFaultLength, maxFaultLength);
  fault.startDelay = random_.duration(Ms(0), maxStartDelay);
  fault.oneWay = random_.chance(oneWayShare);
  vector<std::size_t> const controls = nodesOf(NodeRole::control), stores = nodesOf(NodeRole::store);
  switch (kind) {
    case FaultKind::killNode:
    case FaultKind::pauseNode:
      fault.nodes = {random_.index(topology_.nodes.size())};
      break;
    case FaultKind::loseDisk:
      break;
    case FaultKind::killAllControl:
      fault.nodes = controls;
      fault.duration = std::min(fault.duration, groupFaultLength);
      break;
    case FaultKind::killAllStores:
      fault.nodes = stores;
      fault.duration = std::min(fault.duration, groupFaultLength);
      break;
    case FaultKind::coreCut:
      fault.nodes = {random_.pick(nodesWithDisk())};
      break;
    case FaultKind::split:
      fault.nodes = halfOf(nodesWithDisk(NodeRole::control));
      for (std::size_t const store : halfOf(stores)) fault.nodes.push_back(store);
      break;
    case FaultKind::edgeCut:
      fault.nodes = {random_.pick(nodesOf(NodeRole::edge))};
      break;
    case FaultKind::loseAnswers:
      fault.nodes = {random_.index(topology_.nodes.size()), random_.index(topology_.nodes.size())};
      break;
    case FaultKind::workerCrash:
      fault.nodes = {random_.index(workers_)};
      break;
    case FaultKind::terminate:
    case FaultKind::hangUp:
      fault.nodes = {random_.index(topology_.nodes.size())};
      break;
    case FaultKind::evacuate:
      fault.zone = random_.pick(topology_.zones);
      break;
  }
  bool const isSeries = mayBeRepeated(kind) && random_.chance(seriesShare);
  if (!isSeries) return fault;
  fault.repeats = random_.between(2, maxRepeats);
  fault.duration = fault.duration / fault.repeats;
  return fault;
}

Episode FaultPlanner::draw() {
  Episode episode;
  int const count = random_.between(std::min(2, options_.faultsAtOnce), options_.faultsAtOnce);
  bool hasDiskLoss = false;
  int countedFaults = 0;
  for (int i = 0; i < count; ++i) {
    FaultKind const kind = random_.pick(options_.faults);
    if (kind == FaultKind::loseDisk && std::exchange(hasDiskLoss, true)) continue;
    countedFaults += hitsCountedNode(kind);
    episode.beyondSurvive = episode.beyondSurvive || hitsSeveralCountedNodes(kind) || countedFaults > options_.survive;
    episode.faults.push_back(drawFault(kind));
  }
  return episode;
}

ClosingFault FaultPlanner::drawClosingKind() {
  bool const othersToo = random_.chance(allOthersShare), edgesToo = random_.chance(everyoneShare);
  if (options_.closing != ClosingFault::any) return options_.closing;
  if (!othersToo) return ClosingFault::alone;
  return edgesToo ? ClosingFault::everyone : ClosingFault::counted;
}

Episode FaultPlanner::drawClosing() {
  Fault loss = loseDisks();
  loss.afterAcknowledgement = true;
  ClosingFault const kind = drawClosingKind();
  for (std::size_t node = 0; node < topology_.nodes.size(); ++node) {
    bool const isKilled =
        kind == ClosingFault::everyone || (kind == ClosingFault::counted && topology_.nodes[node].hasDisk);
    bool const lost = std::find(loss.nodes.begin(), loss.nodes.end(), node) != loss.nodes.end();
    if (isKilled && !lost) loss.alsoKilled.push_back(node);
  }
  Episode episode;
  episode.beyondSurvive = !loss.alsoKilled.empty();
  episode.faults.push_back(loss);
  return episode;
}

}  // namespace tealshelf::soak
