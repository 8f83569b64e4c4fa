#pragma once

/// Names of the keyspaces of the control state. There is one more for each host that has lots (`lots/HOST`).
namespace tealshelf {

inline constexpr char const* configurationKeyspace = "configuration";
inline constexpr char const* membersKeyspace = "members";
inline constexpr char const* rolloutsKeyspace = "rollouts";
inline constexpr char const* dutiesKeyspace = "duties";

}  // namespace tealshelf
