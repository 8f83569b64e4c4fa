#pragma once
#include "duties/usage_messages.hpp"

namespace tealshelf {

/// The latest loads of services, by the node that reported them; does no I/O.
class ServiceLoadTable {
 public:
  /// A report older than `expiry` is ignored.
  explicit ServiceLoadTable(Ms expiry) : expiry_(expiry) {}
  void update(string const& reporter, vector<ServiceLoad> loads, TimePoint now);
  /// Sums over all reporters, by service.
  std::map<string, ServiceLoad> sums(TimePoint now) const;

 private:
  struct Entry {
    vector<ServiceLoad> loads;
    TimePoint at;
  };
  Ms expiry_;
  std::map<string, Entry> entries_;
};

}  // namespace tealshelf
