#include "lots/execution/give_up_rule.hpp"

namespace tealshelf {

GiveUpReason giveUpReason(LotRecord const& lot, LotRoute const& found, Ms age, Ms applyWithin) {
  bool const isCertain = lot.configurationVersion || age > applyWithin;
  if (found.isRemoved && isCertain) return GiveUpReason::routeRemoved;
  return age > Ms(lot.keepForMs) ? GiveUpReason::timeOver : GiveUpReason::none;
}

string_view textOf(GiveUpReason reason) {
  switch (reason) {
    case GiveUpReason::none:
      return "not given up";
    case GiveUpReason::routeRemoved:
      return "the route was removed";
    case GiveUpReason::timeOver:
      return "the time to keep them is over";
  }
  return "";
}

}  // namespace tealshelf
