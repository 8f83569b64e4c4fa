#include "duties/usage_table.hpp"

namespace tealshelf {

UsageTable::Process& UsageTable::processOf(ProcessKey const& key) {
  auto const [process, isNew] = processes_.try_emplace(key);
  if (isNew) process->second.order = ++lastOrder_;
  return process->second;
}

void UsageTable::count(ProcessKey const& process, WindowNumber window, string const& tenant) {
  Process& entry = processOf(process);
  Window& counted = entry.windows[std::max(window, WindowNumber(entry.finalThrough.value + 1))];
  ++counted.counts[tenant];
  counted.revision = entry.revision = ++revision_;
}

void UsageTable::markFinal(ProcessKey const& process, WindowNumber through, TimePoint now) {
  Process& entry = processOf(process);
  entry.heardAt = now;
  if (through <= entry.finalThrough) return;
  entry.finalThrough = through;
  entry.revision = ++revision_;
}

void UsageTable::merge(NodeUsage const& usage, TimePoint now) {
  ProcessKey const key{usage.node, usage.incarnation};
  Process& entry = processOf(key);
  for (WindowUsage const& window : usage.windows) {
    Window& known = entry.windows[window.window];
    for (TenantCount const& count : window.counts) {
      std::uint64_t& requests = known.counts[count.tenant];
      if (count.requests <= requests) continue;
      requests = count.requests;
      known.revision = entry.revision = ++revision_;
    }
  }
  markFinal(key, usage.finalThrough, now);
}

void UsageTable::forget(WindowNumber closedThrough, TimePoint heardBefore) {
  for (auto& [key, process] : processes_)
    process.windows.erase(process.windows.begin(), process.windows.upper_bound(closedThrough));
  std::erase_if(processes_, [heardBefore](auto const& item) {
    return item.second.windows.empty() && item.second.heardAt < heardBefore;
  });
}

std::uint64_t UsageTable::dropOldest(ProcessKey const& process, std::size_t maxWindowCount) {
  std::uint64_t dropped = 0;
  Process& entry = processOf(process);
  while (entry.windows.size() > maxWindowCount) {
    for (auto const& [tenant, requests] : entry.windows.begin()->second.counts) dropped += requests;
    entry.windows.erase(entry.windows.begin());
  }
  return dropped;
}

vector<NodeUsage> UsageTable::changedSince(std::uint64_t revision) const {
  vector<NodeUsage> changed;
  for (auto const& [key, process] : processes_) {
    if (process.revision <= revision) continue;
    NodeUsage usage{key.node, key.incarnation, process.finalThrough, {}};
    for (auto const& [window, counted] : process.windows) {
      if (counted.revision <= revision) continue;
      WindowUsage windowUsage{window, {}};
      for (auto const& [tenant, requests] : counted.counts) windowUsage.counts.push_back({tenant, requests});
      usage.windows.push_back(std::move(windowUsage));
    }
    changed.push_back(std::move(usage));
  }
  return changed;
}

std::map<string, std::uint64_t> UsageTable::totals(WindowNumber window) const {
  std::map<string, std::uint64_t> totals;
  for (auto const& [key, process] : processes_) {
    auto const counted = process.windows.find(window);
    if (counted == process.windows.end()) continue;
    for (auto const& [tenant, requests] : counted->second.counts) totals[tenant] += requests;
  }
  return totals;
}

std::optional<WindowNumber> UsageTable::firstWindow() const {
  std::optional<WindowNumber> first;
  for (auto const& [key, process] : processes_) {
    if (process.windows.empty()) continue;
    WindowNumber const window = process.windows.begin()->first;
    if (!first || window < *first) first = window;
  }
  return first;
}

WindowNumber UsageTable::finalThrough(ProcessKey const& process) const {
  auto const entry = processes_.find(process);
  return entry == processes_.end() ? WindowNumber() : entry->second.finalThrough;
}

vector<string> UsageTable::unfinished(WindowNumber window, std::set<string> const& expected,
                                      TimePoint heardSince) const {
  std::map<string, Process const*> latest;
  for (auto const& [key, process] : processes_) {
    Process const*& known = latest[key.node];
    if (!known || known->order < process.order) known = &process;
  }
  vector<string> nodes;
  for (string const& node : expected)
    if (!latest.contains(node)) nodes.push_back(node);
  for (auto const& [node, process] : latest) {
    bool const isRelevant = expected.contains(node) || process->heardAt >= heardSince;
    if (isRelevant && process->finalThrough < window) nodes.push_back(node);
  }
  return nodes;
}

}  // namespace tealshelf
