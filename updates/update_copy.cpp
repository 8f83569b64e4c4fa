#include "updates/update_copy.hpp"

namespace tealshelf {

void UpdateCopy::fillVersions(UpdateRequest& request) const {
  request.configurationVersion = publisher_.configurationVersion();
  request.commonDigest = gap_ ? 0 : publisher_.common.digest();
  request.zoneDigest = gap_ ? 0 : publisher_.zones[zone_].digest();
}

UpdateCopy::Result UpdateCopy::apply(UpdateReply const& reply, TimePoint sentAt,
                                     std::function<void(TableRow const&)> const& onCommonChange,
                                     std::function<void(TableRow const&)> const& onZoneChange) {
  if (!reply.healthy) return Result::unhealthy;
  if (reply.depth >= maxDepth) return Result::tooDeep;
  // The age counts from the reply, which was sent no earlier than the hold time after the request.
  TimePoint const provenAt = sentAt + Ms(reply.heldMs) - Ms(reply.proofAgeMs);
  bool const newConfiguration = reply.configurationVersion > publisher_.configurationVersion();
  if (newConfiguration && !reply.configuration.empty())
    publisher_.setConfiguration(reply.configurationVersion, reply.configuration);
  bool const changesTables = !reply.common.empty() || !reply.zone.empty();
  if (changesTables && provenAt + slack_ < provenAt_) return Result::outdated;
  bool fits = true;
  if (!reply.common.empty()) fits = publisher_.common.apply(deserialize<TableDelta>(reply.common), onCommonChange);
  if (fits && !reply.zone.empty())
    fits = publisher_.zones[zone_].apply(deserialize<TableDelta>(reply.zone), onZoneChange);
  gap_ = !fits;
  if (!fits) return Result::gap;
  provenAt_ = std::max(provenAt_, provenAt);
  depth_ = reply.depth + 1;
  return Result::applied;
}

}  // namespace tealshelf
