#pragma once
#include "base/tealshelf.hpp"

#include <CLI/CLI.hpp>

/// Commands that ask a running process for its figures and print them.
namespace tealshelf {

/// Reads IP:PORT; throws ErrorCode::badArguments if it is anything else.
Address addressArgument(string const& text);

/// One series of metrics in the text format of Prometheus.
struct MetricSample {
  std::map<string, string> labels;
  double value = 0;
};
/// The samples of one metric; lines that can't be read are left out.
vector<MetricSample> parseSamples(string const& metricsText, string const& name);

/// A table of the messages between own processes, by bytes, the largest first.
string trafficTable(string const& metricsText);
/// A table of how an edge placed requests with long shared prefixes; throws ErrorCode::badMessage if the report can't
/// be read.
string prefixTable(string const& reportJson);
/// The last choices for one prefix; throws ErrorCode::badArguments if the report doesn't name it.
string prefixChoicesTable(string const& reportJson, string const& prefix);

/// Pages of a control node beside its metrics.
constexpr string_view rolloutsPage = "/rollouts", tenantsPage = "/tenants", talliesPage = "/tallies",
                      lotsPage = "/lots", dutiesPage = "/duties";
/// A table of the rollouts of services; throws ErrorCode::badMessage if the report can't be read.
string rolloutTable(string const& reportJson);
/// A table of what control nodes granted to tenants, summed over their reports, the most refused first.
string tenantTable(vector<string> const& reportsJson);

/// A table of the tallies with the total at each control node, those that differ first; throws ErrorCode::badMessage if
/// a report can't be read.
string tallyTable(vector<string> const& reportsJson);

/// A table of the lots whose recovery waits, by control node, with the reason; throws ErrorCode::badMessage if a report
/// can't be read.
string waitingLotTable(vector<string> const& reportsJson);

/// A table of who holds the duties at the platform and how usage stands, by control node; throws ErrorCode::badMessage
/// if a report can't be read.
string dutyTable(vector<string> const& reportsJson);
/// A table of what each control node would order for the services whose number of workers may change, with the reason;
/// nothing is ordered by it. Throws ErrorCode::badMessage if a report can't be read.
string capacityTable(vector<string> const& reportsJson);

/// Adds the commands `traffic`, `prefixes`, `rollouts`, `tenants`, `tallies`, `lots`, `duties` and `capacity` to a
/// command line. They print
/// to standard output and end the process with 0, 2 for bad arguments, or 3 if nothing answered.
void addStatusCommands(CLI::App& app);

}  // namespace tealshelf
