#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The settings file of a process (docs/settings.md).
namespace tealshelf {

/// IP and port.
struct Address {
  std::string ip;
  int port = 0;
  auto operator<=>(Address const&) const = default;
  std::string text() const { return ip + ":" + std::to_string(port); }
  MSGPACK_DEFINE(ip, port)
};
/// Reads IP:PORT; nothing if the text is anything else.
std::optional<Address> parseAddress(std::string_view text);

/// The bounds of the deployment, under the names of the settings file without their units.
struct Bounds {
  using Ms = std::chrono::milliseconds;
  Ms seedDelay{3000}, reuseAfter{2000}, inTouch{3000}, confirmWithin{4000}, catchUp{5000}, drain{2000}, grace{8000},
      slack{200}, applyWithin{2000}, revertSlack{250}, stretchLimit{5000}, recover{12000}, step{120},
      finishWithin{10000}, statusEvery{120000}, cancelWithin{3000}, settleWithin{1000}, revokeWithin{5000},
      quotaWindow{5000}, evacuateWithin{5000}, merge{3000}, lease{3000}, unfreezeSlack{300}, reportWindow{5000},
      usageDelay{10000};
  double quotaOverrun = 0.1;      ///< part by which a quota may be exceeded
  double quotaMargin = 20;        ///< requests by which a quota may be exceeded besides, in one window
  double exposureFraction = 0.1;  ///< part of a service's requests that a bad version may get in a rollout
  double exposureMargin = 50;     ///< requests that it may get besides
  double warmUpOverrun = 1;       ///< times what it bears that a worker may be sent while it warms up
  double warmUpMargin = 0;        ///< requests that it may be sent besides, in a second
  double usageError = 0.05;       ///< part by which a tenant's reported use may be off
  Ms revertWithin{5000};          ///< from a version's 50th bad answer until it gets nothing
  /// A node that can't prove its configuration recent refuses requests that need a key.
  bool failClosed = false;
};

/// The platform's interface for the duties that one node does for all.
struct ProviderApi {
  Address address;              ///< without a port: there is none
  double dutiesPerSecond = 10;  ///< calls that the platform takes from all nodes together
  std::vector<std::string> duties;
  /// The platform refuses calls under a lower fence than it has seen.
  bool checksFences = true;
  bool exists() const { return address.port != 0; }
  bool hasDuty(std::string_view duty) const { return std::find(duties.begin(), duties.end(), duty) != duties.end(); }
};

/// What a process is told at its start.
struct Settings {
  using Ms = std::chrono::milliseconds;
  std::string path, nodeName, role, machineClass, ip, zone, region, dataFolder, discovery, entry;
  std::vector<std::string> serves, rulesInForce;
  std::map<std::string, std::string> zones;  ///< zone to region
  Address outside, readiness, control;
  int firstInternalPort = 0, lastInternalPort = 0;
  std::vector<Address> seeds;
  bool firstBoot = false;     ///< the whole system starts for the first time
  bool countsAsLoss = false;  ///< of this machine, towards what must be survived
  double cpuFraction = 1;
  std::int64_t cpuCores = 1, memoryMb = 256, openFiles = 1024, diskMb = 0;
  Ms reportEvery{1000};  ///< the period of workers' heartbeats
  std::int64_t surviveMachines = 0, surviveZones = 0, surviveRegions = 0;
  Bounds bounds;
  ProviderApi provider;
  std::vector<std::string> unknownFields;

  /// Bounds that are shorter than the times they rest on, a text each. The system runs with them all the same, but may
  /// break them.
  std::vector<std::string> infeasibleBounds() const;
  bool isServing(std::string_view kind) const;
  bool isRuleInForce(std::string_view rule) const;
  /// Internal address of a role on a machine; ports are alike on all machines.
  Address controlAddress(std::string const& machineIp) const { return {machineIp, firstInternalPort}; }
  Address storeAddress(std::string const& machineIp) const { return {machineIp, firstInternalPort + 1}; }
  Address relayAddress(std::string const& machineIp) const { return {machineIp, firstInternalPort + 2}; }
};

/// One fault found in a settings file.
struct SettingsError {
  int line;  ///< 0 for a field that is missing
  std::string text;
};
/// Reads the text of a settings file; all faults are listed in one pass.
Settings readSettings(std::string const& text, std::vector<SettingsError>& faults);
/// Reads a settings file: the path, else what TEALSHELF_BOOT names, else the usual path. Throws settingsMissing or
/// settingsInvalid.
Settings loadSettings(std::string path = "");

}  // namespace tealshelf
