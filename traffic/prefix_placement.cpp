#include "traffic/prefix_placement.hpp"

namespace tealshelf {

string_view nameOf(PrefixChoice choice) {
  constexpr string_view names[prefixChoices] = {"kept_here", "carried", "computed_here", "computed_elsewhere"};
  return names[static_cast<std::size_t>(choice)];
}

string_view nameOf(PrefixReason reason) {
  constexpr string_view names[] = {"none", "unfit", "loaded"};
  return names[static_cast<std::size_t>(reason)];
}

}  // namespace tealshelf
