#pragma once

/// Names of the keyspaces of the control state. Each host with lots has another one, `lots/HOST`.
namespace tealshelf {

inline constexpr char const* configurationKeyspace = "configuration";
inline constexpr char const* membersKeyspace = "members";
inline constexpr char const* rolloutsKeyspace = "rollouts";
inline constexpr char const* dutiesKeyspace = "duties";

/// In records and copies this name stands for all keyspaces that a node has dropped; its voted epoch is at least that
/// of each of them.
inline constexpr char const* droppedKeyspaces = "";

}  // namespace tealshelf
