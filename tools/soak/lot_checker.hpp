#pragma once
#include "tools/soak/http_call.hpp"
#include "tools/soak/ledger.hpp"
#include "tools/soak/topology.hpp"

namespace tealshelf::soak {

/// What a client knows of one lot.
struct Lot {
  enum class State {
    sending,
    accepted,  ///< a 202 came: the whole of it must be kept
    refused,   ///< every try ended with a promise that nothing runs
    unclear    ///< neither: it may have been taken or not
  };
  struct SeenResult {
    string item, state;
    std::uint64_t textHash = 0;
    TimePoint seenAt;  ///< first
  };
  string id, host, pathStart, body;
  vector<string> items;
  std::set<string> itemSet;
  State state = State::sending;
  TimePoint acceptedAt;
  bool everUnclear = false;
  bool endAsked = false;
  vector<SeenResult> seen;                  ///< by position
  std::map<string, std::size_t> positions;  ///< of items that were seen
  std::set<string> reportedFailures;        ///< failures that were reported, to say each once
  bool hasWorkers() const;                  ///< its route has workers
  bool isFullyListed() const { return seen.size() == items.size(); }
};

/// One page of results.
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

/// The lots of a run, and the checks of what is told of them.
class LotChecker {
 public:
  LotChecker(Ledger& ledger, Verdict& verdict, SoakBounds const& bounds)
      : ledger_(ledger), verdict_(verdict), bounds_(bounds) {}
  Lot& add(std::unique_ptr<Lot> lot);
  vector<std::unique_ptr<Lot>> const& lots() const { return lots_; }
  vector<Lot*> accepted() const;
  std::size_t countOf(Lot::State state) const;

  void noteAccepted(Lot& lot);
  /// Every try was answered with a promise: none of its items may ever run.
  void noteRefused(Lot& lot);
  /// Checks the answer to a read from a position. `place` names the edge, for reports.
  void checkRead(Lot& lot, std::uint64_t from, HttpAnswer const& answer, string const& place);
  /// Checks the answer to a question for an item's body. True if it is a 404, which is right only for an item that is
  /// listed.
  bool checkItem(Lot& lot, string const& item, HttpAnswer const& answer, string const& place);
  /// An item whose body isn't there must be listed; to be asked after a fresh read of the whole lot.
  void failMissingItem(Lot& lot, string const& item, string const& place);
  /// Reports a failure of a lot once for each place.
  void fail(Lot& lot, string_view rule, string const& text, string const& key);

 private:
  void checkOutput(Lot& lot, std::uint64_t position, LotPage::Output const& output, string const& place);
  void checkContent(Lot& lot, LotPage::Output const& output, string const& place);
  void noteNewResult(Lot& lot, LotPage::Output const& output, string const& place);

  Ledger& ledger_;
  Verdict& verdict_;
  SoakBounds const& bounds_;
  vector<std::unique_ptr<Lot>> lots_;
};

}  // namespace tealshelf::soak
