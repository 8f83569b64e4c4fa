#pragma once
#include <map>
#include <string>
#include <vector>

namespace tealshelf {

/// An address of the wire: IP and port.
struct Addr {
  std::string ip;
  int port = 0;
  auto operator<=>(Addr const&) const = default;
  std::string text() const { return ip + ":" + std::to_string(port); }
  MSGPACK_DEFINE(ip, port)
};
/// Reads IP:PORT; false if it is anything else.
bool readAddr(std::string_view s, Addr& out);

/// The bounds of the deployment, in milliseconds unless the name says otherwise.
struct Bounds {
  std::int64_t seedDelay = 3000, reuseAfter = 2000, inTouch = 3000, confirmWithin = 4000, catchUp = 5000, drain = 2000,
               grace = 8000, slack = 200, applyWithin = 2000, revertSlack = 250, stretchLimit = 5000, recover = 12000,
               step = 120, finishWithin = 10000, statusEvery = 120000, cancelWithin = 3000, settleWithin = 1000;
  double quotaOverrun = 0.1;
};

/// What a process is told at its start.
struct Settings {
  std::string path, nodeName, role, machineClass, ip, zone, region, dataFolder, discovery, entry;
  std::vector<std::string> serves, rulesInForce;
  std::map<std::string, std::string> zones;  ///< zone to region
  Addr outside, readiness, control;
  int firstPort = 0, lastPort = 0;
  std::vector<Addr> seeds;
  bool firstStart = false, countsAsLoss = false;
  double cpuFraction = 1;
  std::int64_t cpuCores = 1, memoryMb = 256, openFiles = 1024, diskMb = 0, reportEvery = 1000;
  std::int64_t surviveMachines = 0, surviveZones = 0, surviveRegions = 0;
  Bounds bounds;
  std::vector<std::string> unknown;  ///< fields that no part knows

  bool servesKind(std::string_view s) const;
  /// Internal address of a role on a machine; ports are alike on all machines.
  Addr controlAt(std::string const& h) const { return {h, firstPort}; }
  Addr storeAt(std::string const& h) const { return {h, firstPort + 1}; }
  Addr relayAt(std::string const& h) const { return {h, firstPort + 2}; }
};

/// One fault found in a settings file.
struct SettingsFault {
  int line;
  std::string text;
};
/// Reads the text of a settings file; all faults are listed in one pass.
Settings readSettings(std::string const& text, std::vector<SettingsFault>& faults);
/// Reads the settings file that TEALSHELF_BOOT names (or the usual path); throws on a bad value.
Settings loadSettings(std::string path = "");

}  // namespace tealshelf
