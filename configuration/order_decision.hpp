#pragma once
#include "configuration/order_history.hpp"

/// The decision on an order of the operator, as a pure function of the committed state and the order.
namespace tealshelf {

/// An order as it came: the header If-Match and the body.
struct Order {
  string ifMatch, body;
};

enum class OrderVerdict {
  acknowledgeAgain,  ///< it was taken before; it is confirmed and changes nothing
  apply,             ///< it shall be written, and be confirmed once a majority has it
  invalid,           ///< it is refused for good with the code
  lostRace,          ///< it is refused for good: another version is current
  tooOld             ///< its base is older than the history; whether it was taken is not known
};

struct Decision {
  OrderVerdict verdict = OrderVerdict::invalid;
  ErrorCode code = ErrorCode::unreadable;  ///< why an order is refused or left open
  string detail;                           ///< for the log
  OrderIdentity identity;                  ///< of a readable order
  std::uint64_t version = 0;               ///< that a valid order brings
  vector<OrderHistory::Row> rows;          ///< to write, in one change, for an order that shall be applied
};

/// Key of the current configuration in its keyspace.
inline constexpr char const* currentKey = "current";

/// The version that the committed rows hold; 0 if there is none yet.
std::uint64_t currentVersion(std::map<string, string> const& rows);

/// Judges an order by the committed rows of the configuration's keyspace.
Decision decide(std::map<string, string> const& rows, Order const& order, HistoryShape shape = HistoryShape());

/// Bars decisions while the end of a written order is unknown.
///
/// A write whose end this owner doesn't know may still be committed in its epoch. Until the epoch has passed, or the
/// order stands in the committed history, the committed rows say less than what may be in force, and no other order
/// may be judged by them.
class UnsettledOrder {
 public:
  void begin(OrderIdentity const& order, std::uint64_t epoch) {
    order_ = order;
    epoch_ = epoch;
  }
  void settle() { order_.reset(); }
  /// True while the order's end is open in this epoch, by the committed rows.
  bool open(std::uint64_t epoch, std::map<string, string> const& rows);

 private:
  std::optional<OrderIdentity> order_;
  std::uint64_t epoch_ = 0;
};

}  // namespace tealshelf
