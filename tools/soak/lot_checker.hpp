#pragma once
#include "tools/soak/http_call.hpp"
#include "tools/soak/ledger.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// What the clients know about one lot.
struct Lot {
  enum class State {
    sending,
    accepted,  ///< a 202 was received: no item may be lost
    refused,   ///< every attempt was answered with a guarantee that nothing runs
    unclear    ///< neither: the lot may have been accepted or not
  };
  struct SeenResult {
    string item, state;
    std::uint64_t textHash = 0;
    TimePoint seenAt;  ///< first time
  };
  string id, host, pathStart, body;
  vector<string> items;
  std::set<string> itemSet;
  State state = State::sending;
  TimePoint acceptedAt;
  bool hadUnclearAnswer = false;
  bool endRequested = false;
  vector<SeenResult> seen;                  ///< results by position
  std::map<string, std::size_t> positions;  ///< positions of listed items
  std::set<string> reportedFailures;        ///< keys of reported failures, so that each is reported once
  bool hasWorkers() const;                  ///< true if its route has workers
  bool isFullyListed() const { return seen.size() == items.size(); }
};

/// One page of a lot's results.
struct LotPage {
  struct Output {
    string item, state, text;
  };
  std::uint64_t total = 0, next = 0;
  vector<Output> outputs;
};
/// Reads the body of GET /lots/ID; nothing if it is malformed.
std::optional<LotPage> readLotPage(string const& body);
string encodeBase64(string_view bytes);

/// The lots of a run, and the checks of the answers about them.
class LotChecker {
 public:
  LotChecker(Ledger& ledger, Verdict& verdict, SoakBounds const& bounds)
      : ledger_(ledger), verdict_(verdict), bounds_(bounds) {}
  Lot& add(std::unique_ptr<Lot> lot);
  vector<std::unique_ptr<Lot>> const& lots() const { return lots_; }
  vector<Lot*> accepted() const;
  std::size_t countOf(Lot::State state) const;

  void noteAccepted(Lot& lot);
  /// Records that every attempt was refused: none of the lot's items may ever run.
  void noteRefused(Lot& lot);
  /// Checks the answer to a read from a position. `edgeName` is for failure messages.
  void checkRead(Lot& lot, std::uint64_t from, HttpAnswer const& answer, string const& edgeName);
  /// Checks the answer to a read of an item's body. True if it is a 404, which is correct only for a listed item.
  bool checkItem(Lot& lot, string const& item, HttpAnswer const& answer, string const& edgeName);
  /// Fails the run if an item without a body isn't listed; call it after a fresh read of the whole lot.
  void failMissingItem(Lot& lot, string const& item, string const& edgeName);
  /// Reports a failure of a lot, once for each rule and key.
  void fail(Lot& lot, string_view rule, string const& text, string const& key);

 private:
  void checkOutput(Lot& lot, std::uint64_t position, LotPage::Output const& output, string const& edgeName);
  void checkContent(Lot& lot, LotPage::Output const& output, string const& edgeName);
  void noteNewResult(Lot& lot, LotPage::Output const& output, string const& edgeName);

  Ledger& ledger_;
  Verdict& verdict_;
  SoakBounds const& bounds_;
  vector<std::unique_ptr<Lot>> lots_;
};

}  // namespace tealshelf::soak
