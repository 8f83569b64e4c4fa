#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The settings file of a process (docs/settings.md).
namespace tealshelf {

/// An IP address and a port.
struct Address {
  std::string ip;
  int port = 0;
  auto operator<=>(Address const&) const = default;
  std::string text() const { return ip + ":" + std::to_string(port); }
  MSGPACK_DEFINE(ip, port)
};
/// Parses IP:PORT; nullopt if the text is anything else.
std::optional<Address> parseAddress(std::string_view text);

/// Time and load bounds of the deployment; the names are those of the settings file without the units.
struct Bounds {
  using Ms = std::chrono::milliseconds;
  Ms seedDelay{3000}, reuseAfter{2000}, inTouch{3000}, confirmWithin{4000}, catchUp{5000}, drain{2000}, grace{8000},
      slack{200}, applyWithin{2000}, revertSlack{250}, stretchLimit{5000}, recover{12000}, step{120},
      finishWithin{10000}, statusEvery{120000}, cancelWithin{3000}, settleWithin{1000}, revokeWithin{5000},
      quotaWindow{5000}, evacuateWithin{5000}, merge{3000}, lease{3000}, unfreezeSlack{300}, reportWindow{5000},
      usageDelay{10000};
  double quotaOverrun = 0.1;      ///< fraction by which a quota may be exceeded
  double quotaMargin = 20;        ///< requests by which a quota may be exceeded in addition, per window
  double exposureFraction = 0.1;  ///< fraction of a service's requests that a bad version may get in a rollout
  double exposureMargin = 50;     ///< requests that it may get in addition
  double warmUpOverrun = 1;       ///< multiple of its capacity that a warming worker may be sent
  double warmUpMargin = 0;        ///< requests per second that it may be sent in addition
  double usageError = 0.05;       ///< relative error allowed in a tenant's reported usage
  Ms revertWithin{5000};          ///< from a version's 50th bad answer until it gets no requests
  /// If true, a node that can't prove that its configuration is recent refuses requests that need a key.
  bool failClosed = false;
};

/// The platform API for duties, which one node performs on behalf of all.
struct ProviderApi {
  Address address;              ///< port 0 if there is no platform API
  double dutiesPerSecond = 10;  ///< call rate that the platform accepts from all nodes together
  std::vector<std::string> duties;
  /// True if the platform rejects calls with a lower fence than it has seen.
  bool checksFences = true;
  bool exists() const { return address.port != 0; }
  bool hasDuty(std::string_view duty) const { return std::find(duties.begin(), duties.end(), duty) != duties.end(); }
};

/// The settings of a process, read at startup.
struct Settings {
  using Ms = std::chrono::milliseconds;
  std::string path, nodeName, role, machineClass, ip, zone, region, dataFolder, discovery, entry;
  std::vector<std::string> serves, rulesInForce;
  std::map<std::string, std::string> zones;  ///< zone to region
  Address outside, readiness, control;
  int firstInternalPort = 0, lastInternalPort = 0;
  std::vector<Address> seeds;
  bool firstBoot = false;     ///< true when the whole system starts for the first time
  bool countsAsLoss = false;  ///< whether losing this machine counts towards the losses to survive
  double cpuFraction = 1;
  std::int64_t cpuCores = 1, memoryMb = 256, openFiles = 1024, diskMb = 0;
  Ms reportEvery{1000};  ///< the period of workers' heartbeats
  std::int64_t surviveMachines = 0, surviveZones = 0, surviveRegions = 0;
  Bounds bounds;
  ProviderApi provider;
  std::vector<std::string> unknownFields;

  /// Describes each bound that is shorter than the times it depends on. The system still runs, but may violate such a
  /// bound.
  std::vector<std::string> infeasibleBounds() const;
  bool isServing(std::string_view kind) const;
  bool isRuleInForce(std::string_view rule) const;
  /// Internal address of a role on a machine; all machines use the same ports.
  Address controlAddress(std::string const& machineIp) const { return {machineIp, firstInternalPort}; }
  Address storeAddress(std::string const& machineIp) const { return {machineIp, firstInternalPort + 1}; }
  Address relayAddress(std::string const& machineIp) const { return {machineIp, firstInternalPort + 2}; }
};

/// One error found in a settings file.
struct SettingsError {
  int line;  ///< 0 for a missing field
  std::string text;
};
/// Parses the text of a settings file and collects all errors.
Settings readSettings(std::string const& text, std::vector<SettingsError>& errors);
/// Reads a settings file: the given path, else the one in TEALSHELF_BOOT, else the default path. Throws settingsMissing
/// or settingsInvalid.
Settings loadSettings(std::string path = "");

}  // namespace tealshelf
