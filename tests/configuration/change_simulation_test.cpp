#include "configuration/configuration.hpp"
#include "tests/configuration/change_checker.hpp"
#include "tests/consensus/consensus_sim.hpp"
#include "tests/seeds.hpp"

#include <CppUTest/TestHarness.h>

using namespace tealshelf;

/// Operators send changes and reads to a simulated group with faults; their history is checked for linearizability.
namespace {
/// The rules by which an owner decides: the real ones, and variants with a known fault.
enum class Rules { real, currentTextOnly, withoutConfirm, ignoresUndecided };

std::uint64_t changeSeeds() {
  return seedCount(12);
}
string configuration(std::uint64_t version, std::uint64_t mark) {
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[],\"services\":[{\"name\":\"s" +
         std::to_string(mark) + "\"}]}";
}
ChangeDecision decideByText(std::map<string, string> const& rows, ChangeRequest const& request) {
  std::map<string, string> current;
  std::map<string, string>::const_iterator const row = rows.find(currentConfigurationKey);
  if (row != rows.end()) current.insert(*row);
  ChangeDecision decision = decideChange(current, request);
  if (decision.verdict == ChangeVerdict::tooOld) decision.verdict = ChangeVerdict::conflict;
  if (row != rows.end() && row->second == request.body) decision.verdict = ChangeVerdict::acknowledgeAgain;
  return decision;
}

class ChangesSimulation {
 public:
  ChangesSimulation(std::uint64_t seed, std::size_t nodes, Rules rules)
      : cluster_(seed, nodes), rules_(rules), shape_{256, 1 + seed % 4}, owners_(nodes) {
    cluster_.joins = true;
    cluster_.survive = 1;
    cluster_.run(400);
  }
  /// Runs random operations and faults; describes the first violation, if any.
  string run(std::size_t steps) {
    for (std::size_t k = 0; k < steps && cluster_.violation.empty(); ++k) {
      cluster_.step();
      cluster_.check();
      for (std::size_t const victim : std::exchange(nodesToFail_, {}))
        if (cluster_.nodes()[victim].up) dice(2) ? cluster_.kill(victim) : cluster_.losePower(victim);
      if (dice(6) == 0) operate();
      if (dice(120) == 0) injectFault();
      if (dice(60) == 0) repairFault();
    }
    if (!cluster_.violation.empty()) return cluster_.violation;
    return checkHistory();
  }
  std::uint64_t accepted = 0, repeated = 0, refused = 0, reads = 0, wipes = 0;

 private:
  struct Sent {
    ChangeId id;
    ChangeRequest request;
  };
  struct Owner {
    std::uint64_t life = 0, turn = 0;
    bool busy = false;
    UndecidedChange undecided;
  };
  std::uint64_t dice(std::uint64_t n) { return cluster_.dice(n); }

  /// An operator sends a new change, repeats an earlier one, or reads, at any node.
  void operate() {
    std::size_t const node = dice(cluster_.nodes().size());
    std::uint64_t const kind = dice(8);
    if (kind < 2) return read(node);
    if (kind < 5 && !sent_.empty()) {
      std::size_t const recent = std::min<std::size_t>(sent_.size(), dice(3) ? 4 : sent_.size());
      ++repeated;
      return send(node, sent_[sent_.size() - 1 - dice(recent)]);
    }
    std::uint64_t const base = highestVersionRead_;
    ChangeRequest const request{std::to_string(base), configuration(base + 1 + dice(3), dice(1000000))};
    sent_.push_back(Sent{ChangeId{base, sha256(canonicalJson(request.body))}, request});
    send(node, sent_.back());
    if (dice(3) == 0) operate();
  }
  /// The owner that a call reaches, within a few random forwards.
  std::optional<std::size_t> serving(std::size_t node) {
    for (int hop = 0; hop < 3; ++hop) {
      sim::Cluster::Node& x = cluster_.nodes()[node];
      if (!x.up || x.frozen) return std::nullopt;
      if (x.consensus->owns("configuration")) return node;
      node = dice(cluster_.nodes().size());
    }
    return std::nullopt;
  }
  Owner& ownerState(std::size_t node) {
    Owner& owner = owners_[node];
    if (owner.life != cluster_.nodes()[node].processNumber)
      owner = Owner{cluster_.nodes()[node].processNumber, 0, false, {}};
    return owner;
  }
  /// Schedules at random a crash of the owner, at each stage of a change.
  void maybeFailLater(std::size_t node) {
    if (dice(25) == 0) nodesToFail_.insert(node);
  }
  void afterConfirmation(std::size_t node, std::function<void(bool)> then) {
    if (rules_ == Rules::withoutConfirm) return then(true);
    cluster_.begin(
        node, [this](Consensus& c) { return c.confirmOwnership("configuration", cluster_.now()); }, std::move(then));
  }
  void read(std::size_t asked) {
    TimePoint const from = cluster_.now();
    std::optional<std::size_t> const node = serving(asked);
    if (!node) return;
    afterConfirmation(*node, [this, from, node = *node](bool ok) {
      if (!ok) return;
      std::map<string, string> const& rows = cluster_.nodes()[node].consensus->committedValues("configuration");
      std::map<string, string>::const_iterator const current = rows.find(currentConfigurationKey);
      std::uint64_t const version = current == rows.end() ? 0 : compileConfiguration(current->second)->version;
      highestVersionRead_ = std::max(highestVersionRead_, version);
      checker_.reads.push_back({from, cluster_.now(), version});
      ++reads;
    });
  }
  void send(std::size_t asked, Sent const& sent) {
    std::size_t const index = checker_.attempts.size();
    checker_.attempts.push_back({sent.id, cluster_.now(), TimePoint(), sim::Answer::none});
    std::optional<std::size_t> const node = serving(asked);
    if (!node || ownerState(*node).busy) return;
    Owner& owner = ownerState(*node);
    owner.busy = true;
    std::uint64_t const turn = ++owner.turn;
    maybeFailLater(*node);
    afterConfirmation(*node, [this, index, turn, node = *node, request = sent.request](bool ok) {
      Owner& state = ownerState(node);
      if (state.turn != turn) return;
      if (ok)
        decideAt(node, index, request);
      else
        state.busy = false;
    });
  }
  void decideAt(std::size_t node, std::size_t index, ChangeRequest const& request) {
    Consensus& consensus = *cluster_.nodes()[node].consensus;
    Owner& owner = ownerState(node);
    std::map<string, string> const& rows = consensus.committedValues("configuration");
    std::uint64_t const epoch = consensus.epochOf("configuration").number;
    owner.busy = false;
    if (rules_ != Rules::ignoresUndecided && owner.undecided.isOpen(epoch, rows)) return;
    ChangeDecision const decision =
        rules_ == Rules::currentTextOnly ? decideByText(rows, request) : decideChange(rows, request, shape_);
    if (decision.verdict == ChangeVerdict::acknowledgeAgain) return answer(index, sim::Answer::acknowledged);
    if (decision.verdict == ChangeVerdict::conflict || decision.verdict == ChangeVerdict::invalid)
      return answer(index, sim::Answer::refused);
    if (decision.verdict != ChangeVerdict::apply) return;
    vector<KeyChange> changes;
    for (ChangeHistory::Row const& row : decision.rows) changes.push_back({row.key, row.value, false});
    owner.busy = true;
    owner.undecided.begin(decision.id, epoch);
    std::uint64_t const turn = ++owner.turn;
    maybeFailLater(node);
    cluster_.begin(
        node, [&](Consensus& c) { return c.propose("configuration", changes, cluster_.now()); },
        [this, index, turn, node](bool ok) {
          Owner& state = ownerState(node);
          if (state.turn != turn) return;
          state.busy = false;
          if (!ok) return;
          state.undecided.settle();
          maybeFailLater(node);
          answer(index, sim::Answer::acknowledged);
        });
    // The wait for the outcome is bounded: at times the owner stops waiting and serves other changes.
    if (dice(4) == 0) owner.busy = false, ++owner.turn;
  }
  /// Delivers the answer to the operator, unless it is lost at random.
  void answer(std::size_t index, sim::Answer given) {
    if (dice(4) == 0) return;
    sim::Attempt& attempt = checker_.attempts[index];
    attempt.to = cluster_.now();
    attempt.answer = given;
    if (given == sim::Answer::refused) ++refused;
  }
  void injectFault() {
    std::size_t const count = cluster_.nodes().size(), i = dice(count);
    sim::Cluster::Node& x = cluster_.nodes()[i];
    std::size_t incompleteDisks = 0, unavailable = 0;
    for (sim::Cluster::Node const& y : cluster_.nodes()) {
      incompleteDisks += !y.diskHoldsAllKeys;
      unavailable += !y.up || y.frozen;
    }
    switch (dice(5)) {
      case 0:
        if (x.up && unavailable < 2) dice(2) ? cluster_.losePower(i) : cluster_.kill(i);
        break;
      case 1:
        if (x.up && unavailable < 2) x.frozen = true;
        break;
      case 2:
        for (std::size_t j = 0; j < count; ++j) {
          if (j != i) cluster_.cuts.insert({i, j});
          if (j != i && dice(2)) cluster_.cuts.insert({j, i});
        }
        break;
      case 3:
        cluster_.loss = dice(3) * 0.1;
        break;
      default:
        if (incompleteDisks || unavailable) break;
        cluster_.wipe(i);
        ++wipes;
    }
  }
  void repairFault() {
    std::size_t const i = dice(cluster_.nodes().size());
    sim::Cluster::Node& x = cluster_.nodes()[i];
    if (!x.up)
      cluster_.start(i);
    else if (x.frozen) {
      // A call that waited at the frozen node is served before the node reads its clock.
      x.frozen = false;
      read(i);
      cluster_.unfreeze(i);
    } else if (dice(2))
      cluster_.cuts.clear();
  }
  /// Repairs all faults; the chain of the owner must then explain the whole history.
  string checkHistory() {
    cluster_.heal();
    cluster_.run(2500);
    for (sim::Cluster::Node& x : cluster_.nodes()) {
      if (!x.consensus->owns("configuration")) continue;
      std::map<string, string> const& rows = x.consensus->committedValues("configuration");
      ChangeHistory const history(rows, currentVersion(rows));
      accepted = history.changes().size();
      return checker_.check(history.changes());
    }
    return "no node owns the configuration after all faults were repaired";
  }

  sim::Cluster cluster_;
  Rules rules_;
  HistoryShape shape_;
  vector<Owner> owners_;
  vector<Sent> sent_;
  sim::LinearizabilityChecker checker_;
  std::uint64_t highestVersionRead_ = 0;
  std::set<std::size_t> nodesToFail_;
};
bool isDetected(Rules rules, std::uint64_t maxSeeds) {
  for (std::uint64_t seed = 1; seed <= maxSeeds; ++seed)
    if (!ChangesSimulation(seed, 4, rules).run(3000).empty()) return true;
  return false;
}
}  // namespace

TEST_GROUP(changeSimulation){};

TEST(changeSimulation, everyHistoryIsLinearizable) {
  std::uint64_t accepted = 0, repeated = 0, refused = 0, reads = 0, wipes = 0;
  for (std::uint64_t seed = 1; seed <= changeSeeds(); ++seed) {
    ChangesSimulation simulation(seed, 3 + seed % 3, Rules::real);
    string const fault = simulation.run(3000);
    if (!fault.empty()) FAIL(("seed " + std::to_string(seed) + ": " + fault).c_str());
    accepted += simulation.accepted;
    repeated += simulation.repeated;
    refused += simulation.refused;
    reads += simulation.reads;
    wipes += simulation.wipes;
  }
  string const totals = std::to_string(accepted) + " accepted, " + std::to_string(repeated) + " sent again, " +
                        std::to_string(refused) + " refused, " + std::to_string(reads) + " reads, " +
                        std::to_string(wipes) + " disks wiped";
  UT_PRINT(totals.c_str());
  CHECK(accepted > 10 * changeSeeds() && repeated > accepted && refused > changeSeeds() && reads > changeSeeds() &&
        wipes > 0);
}
TEST(changeSimulation, decidingByTheCurrentTextAloneIsDetected) {
  CHECK(isDetected(Rules::currentTextOnly, 100));
}
TEST(changeSimulation, anOwnerThatDoesNotConfirmItsOwnershipIsDetected) {
  CHECK(isDetected(Rules::withoutConfirm, 300));
}
TEST(changeSimulation, decidingDuringAnUndecidedChangeIsDetected) {
  CHECK(isDetected(Rules::ignoresUndecided, 300));
}
