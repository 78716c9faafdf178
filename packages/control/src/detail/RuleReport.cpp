#include "detail/RuleReport.h"

#include "detail/Keys.h"

#include <algorithm>

namespace endivedoor::control::detail {

namespace json = boost::json;

// Counts are written periodically. A change of owner loses at most this period.
constexpr std::chrono::seconds WriteInterval{10};

RuleReport::RuleReport(Context &context, const ConfigManager &config,
                       const TaskTable &table, const WorkerLeases &leases,
                       const ServiceZoneCounter &serviceZones)
    : Ctx(context), Config(config), Table(table), Leases(leases),
      ServiceZones(serviceZones), LastWrite(context.Clock.now()) {}

std::int64_t RuleReport::currentHour() const {
  return std::chrono::floor<std::chrono::hours>(
             Ctx.Clock.wallNow().time_since_epoch())
      .count();
}

static bool isActive(const TaskRecord &task) {
  return task.HoldsResources && !isTerminal(task.Task.State);
}

void RuleReport::count(const model::Rule &rule, const CheckResult &result) {
  if (!result.Applies)
    return;
  RowKey key{rule.Contract, currentHour(), rule.Text};
  Row &row = Rows[key];
  row.Counts.Contract = rule.Contract;
  row.Counts.Hour = std::get<1>(key);
  row.Counts.Zone = Ctx.Settings.Zone;
  row.Counts.Rule = rule.Text;
  row.Counts.Reason = rule.Reason;
  Dirty.insert(std::move(key));
  if (result.Kept) {
    ++row.Counts.Kept;
    return;
  }
  ++row.Counts.Violated;
  if (row.Counts.Worst.empty() || result.Severity > row.WorstSeverity) {
    row.WorstSeverity = result.Severity;
    row.Counts.Worst = result.Description;
  }
}

void RuleReport::computeTotals() {
  TeamSlots.clear();
  BatchTasks = 0;
  for (const auto &[id, task] : Table.tasks()) {
    if (!isActive(task))
      continue;
    const model::JobSpec &spec = Table.jobs().at(task.Task.Job).Spec;
    TeamSlots[spec.Team] += spec.Size.Slots;
    BatchTasks += spec.Kind == model::TaskKind::Batch ? 1 : 0;
  }
}

void RuleReport::sample() {
  computeTotals();
  for (const model::Rule &it : Config.rules().Rules)
    count(it,
          std::visit([&](const auto &body) { return check(body); }, it.Body));
  std::erase_if(Latencies, [&](const auto &it) {
    auto task = Table.tasks().find(it.first);
    return task == Table.tasks().end() || !isActive(task->second);
  });
  removePastHours();
}

void RuleReport::removePastHours() {
  std::int64_t now = currentHour();
  std::erase_if(Rows, [&](const auto &it) {
    return std::get<1>(it.first) < now && Dirty.count(it.first) == 0 &&
           InFlight.count(it.first) == 0;
  });
}

void RuleReport::recordJobEnd(const JobRecord &job) {
  auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Ctx.Clock.wallNow() - job.AdmittedAt);
  for (const model::Rule &it : Config.rules().Rules) {
    const auto *rule = std::get_if<model::ClassDeadline>(&it.Body);
    if (rule == nullptr || rule->Class != job.Spec.Class || job.Cancelled)
      continue;
    CheckResult result;
    result.Applies = true;
    result.Kept = elapsed <= rule->MaxDuration;
    result.Severity = elapsed.count();
    result.Description = "job " + job.Spec.Id.str() + " took " +
                         std::to_string(elapsed.count()) + " ms";
    count(it, result);
  }
}

void RuleReport::recordLatency(const base::TaskId &task,
                               std::chrono::milliseconds p95) {
  if (p95.count() > 0)
    Latencies[task] = p95;
}

RuleReport::CheckResult
RuleReport::check(const model::AtLeastZones &rule) const {
  std::int32_t zones = ServiceZones ? ServiceZones(rule.Service) : -1;
  return {zones >= 0, zones >= rule.Zones, -zones,
          std::to_string(zones) + " zones"};
}

RuleReport::CheckResult
RuleReport::check(const model::SpreadRacks &rule) const {
  std::map<base::RackId, std::int32_t> racks;
  for (const auto &[id, entry] : Leases.entries())
    for (const base::TaskId &it : Table.tasksHoldingResources(id)) {
      const TaskRecord &task = Table.tasks().at(it);
      if (isActive(task) &&
          Table.jobs().at(task.Task.Job).Spec.Service == rule.Service)
        ++racks[entry->Worker.Rack];
    }
  CheckResult worst{!racks.empty(), true, 0, {}};
  for (const auto &[rack, n] : racks)
    if (n > rule.MaxPerRack && n > worst.Severity)
      worst = {true, false, n,
               std::to_string(n) + " tasks in rack " + rack.str()};
  return worst;
}

RuleReport::CheckResult
RuleReport::check(const model::ReserveShare &rule) const {
  CheckResult worst{rule.Zone == Ctx.Settings.Zone, true, 0, {}};
  for (const auto &[id, entry] : Leases.entries()) {
    std::int64_t batch = 0;
    for (const base::TaskId &it : Table.tasksHoldingResources(id)) {
      const model::JobSpec &spec =
          Table.jobs().at(Table.tasks().at(it).Task.Job).Spec;
      batch += spec.Kind == model::TaskKind::Batch ? spec.Size.Slots : 0;
    }
    std::int64_t slots = entry->Worker.Capacity.Slots;
    // A worker without a capacity has not yet responded to this owner.
    if (slots > 0 && batch * 100 > slots * (100 - rule.Percent) &&
        batch > worst.Severity)
      worst = {worst.Applies, false, batch,
               std::to_string(batch) + " batch slots on worker " + id.str()};
  }
  return worst;
}

RuleReport::CheckResult RuleReport::check(const model::TeamQuota &rule) const {
  auto it = TeamSlots.find(rule.Team);
  std::int64_t slots = it == TeamSlots.end() ? 0 : it->second;
  return {true, slots <= rule.Slots, slots, std::to_string(slots) + " slots"};
}

RuleReport::CheckResult
RuleReport::check(const model::SeparateClass &rule) const {
  for (const auto &[id, entry] : Leases.entries()) {
    bool service = false, other = false;
    for (const base::TaskId &it : Table.tasksHoldingResources(id)) {
      const TaskRecord &task = Table.tasks().at(it);
      const model::JobSpec &spec = Table.jobs().at(task.Task.Job).Spec;
      service = service || (isActive(task) && spec.Service == rule.Service);
      other = other || (isActive(task) && spec.Class == rule.Class);
    }
    if (service && other)
      return {true, false, 1, "both on worker " + id.str()};
  }
  return {true, true, 0, {}};
}

RuleReport::CheckResult
RuleReport::check(const model::LatencyTarget &rule) const {
  CheckResult worst;
  for (const auto &[id, p95] : Latencies) {
    auto task = Table.tasks().find(id);
    if (task == Table.tasks().end() || !isActive(task->second) ||
        Table.jobs().at(task->second.Task.Job).Spec.Service != rule.Service)
      continue;
    if (!worst.Applies || p95.count() > worst.Severity)
      worst = {true, p95 <= rule.P95, p95.count(),
               "p95 " + std::to_string(p95.count()) + " ms on worker " +
                   task->second.Task.Worker.str()};
  }
  return worst;
}

// Checked by recordJobEnd().
RuleReport::CheckResult RuleReport::check(const model::ClassDeadline &) const {
  return {};
}

RuleReport::CheckResult RuleReport::check(const model::ZoneOut &rule) const {
  return {rule.Zone == Ctx.Settings.Zone, BatchTasks == 0, BatchTasks,
          std::to_string(BatchTasks) + " batch tasks still run"};
}

RuleReport::CheckResult RuleReport::check(const model::WorkerOut &rule) const {
  std::int64_t starting = 0;
  for (const base::TaskId &it : Table.tasksHoldingResources(rule.Worker))
    if (Table.tasks().at(it).Task.State == model::TaskState::Starting)
      ++starting;
  return {Leases.entries().count(rule.Worker) > 0, starting == 0, starting,
          std::to_string(starting) + " tasks start"};
}

std::vector<ReportRow> RuleReport::rows() const {
  std::vector<ReportRow> out;
  for (const auto &[key, row] : Rows)
    if (std::get<1>(key) == currentHour())
      out.push_back(row.Counts);
  return out;
}

bool RuleReport::isWriteDue() const {
  return !Dirty.empty() && Ctx.Clock.now() - LastWrite >= WriteInterval;
}

static std::string encodeRow(const ReportRow &row) {
  return json::serialize(json::object{{"row", rowToJson(row)}});
}

void RuleReport::appendChanges(std::vector<std::string> &records,
                               std::vector<platform::StoreOp> &puts) {
  std::map<std::pair<base::ContractName, std::int64_t>, json::array> documents;
  for (const RowKey &it : Dirty) {
    records.push_back(encodeRow(Rows.at(it).Counts));
    documents[{std::get<0>(it), std::get<1>(it)}];
  }
  for (auto &[id, rows] : documents) {
    for (const auto &[key, row] : Rows)
      if (std::get<0>(key) == id.first && std::get<1>(key) == id.second)
        rows.push_back(rowToJson(row.Counts));
    puts.push_back(platform::StoreOp::put(
        reportKey(id.first, id.second, Ctx.Settings.Zone),
        json::serialize(json::object{{"rows", std::move(rows)}})));
  }
  InFlight = std::move(Dirty);
  Dirty.clear();
  LastWrite = Ctx.Clock.now();
}

void RuleReport::finishCommit(bool committed) {
  if (!committed)
    Dirty.merge(InFlight);
  InFlight.clear();
}

std::vector<std::string> RuleReport::encodeAll() const {
  std::vector<std::string> out;
  for (const auto &[key, row] : Rows)
    out.push_back(encodeRow(row.Counts));
  return out;
}

void RuleReport::apply(ReportRow row) {
  RowKey key{row.Contract, row.Hour, row.Rule};
  Rows[std::move(key)].Counts = std::move(row);
}

} // namespace endivedoor::control::detail
