#pragma once
#include "consensus/consensus.hpp"
#include "control/messages.hpp"
#include "tallies/tally_store.hpp"

namespace tealshelf {

/// What a caller adds to a tally.
struct TallyAddition {
  string serverId;
  std::int64_t changedBy = 0;
};
/// Reads the body of an addition: an object with `serverId`, 1 to 128 characters, and `changedBy`, a whole number of at
/// most 2^53 either way. Throws ErrorCode::badAddition for anything else.
TallyAddition readAddition(string const& body);

/// What the paths of tallies begin with.
constexpr string_view tallyPath = "/tallies/";

/// Handles `/tallies/ID`: applications add to tallies and read them, on either side of a cut. A node that isn't a
/// member, or is still catching up, passes the call on to one that is.
class TallyHandler {
 public:
  TallyHandler(Settings const& settings, RpcClient& rpc, Consensus const& consensus, TallyStore& store);
  Task<CallReply> handle(ForwardedCall call);

 private:
  /// Asks one member after the other, those of the own zone first.
  Task<CallReply> forwardToMember(ForwardedCall call);

  Settings const& settings_;
  RpcClient& rpc_;
  Consensus const& consensus_;
  TallyStore& store_;
};

}  // namespace tealshelf
