#pragma once
#include "base/tealshelf.hpp"

#include <CLI/CLI.hpp>

/// Commands that print the status pages of running processes.
namespace tealshelf {

/// Parses IP:PORT; throws ErrorCode::badArguments for anything else.
Address addressArgument(string const& text);

/// One sample of a metric in the Prometheus text format.
struct MetricSample {
  std::map<string, string> labels;
  double value = 0;
};
/// The samples of one metric; skips malformed lines.
vector<MetricSample> parseSamples(string const& metricsText, string const& name);

/// A table of the RPC traffic by kind of message, the most bytes first.
string trafficTable(string const& metricsText);
/// A table of how an edge node placed requests with long shared prefixes; throws ErrorCode::badMessage if the report is
/// malformed.
string prefixTable(string const& reportJson);
/// A table of the last placements of one prefix; throws ErrorCode::badArguments if the report doesn't name it.
string prefixChoicesTable(string const& reportJson, string const& prefix);

/// Paths of a control node's status pages.
constexpr string_view rolloutsPage = "/rollouts", tenantsPage = "/tenants", talliesPage = "/tallies",
                      lotsPage = "/lots", dutiesPage = "/duties";
/// A table of the rollouts of services; throws ErrorCode::badMessage if the report is malformed.
string rolloutTable(string const& reportJson);
/// A table of the requests granted to and refused for each tenant, summed over the reports, the most refused first.
string tenantTable(vector<string> const& reportsJson);

/// A table of the tallies with the total at each control node, those that differ first; throws ErrorCode::badMessage if
/// a report is malformed.
string tallyTable(vector<string> const& reportsJson);

/// A table of the lots whose recovery is waiting, by control node, with the reason; throws ErrorCode::badMessage if a
/// report is malformed.
string waitingLotTable(vector<string> const& reportsJson);

/// A table of the holder of the duties at the platform and the progress of usage reports, by control node; throws
/// ErrorCode::badMessage if a report is malformed.
string dutyTable(vector<string> const& reportsJson);
/// A table of the workers that each control node would order for the services with scaling settings, with the reason.
/// Orders nothing. Throws ErrorCode::badMessage if a report is malformed.
string capacityTable(vector<string> const& reportsJson);

/// Adds the commands `traffic`, `prefixes`, `rollouts`, `tenants`, `tallies`, `lots`, `duties` and `capacity` to a
/// command line. They print to standard output and end the process with 0, 2 for bad arguments, or 3 for any other
/// error.
void addStatusCommands(CLI::App& app);

}  // namespace tealshelf
