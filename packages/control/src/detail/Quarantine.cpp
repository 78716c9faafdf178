#include "detail/Quarantine.h"

#include <algorithm>

namespace endivedoor::control::detail {

constexpr std::size_t FailuresInRow = 3;
constexpr std::chrono::seconds FirstInterval{5};
constexpr std::chrono::minutes LastInterval{5};

bool Quarantine::failed(const base::WorkerId &worker, const base::JobId &job,
                        base::TimePoint now) {
  Record &record = Records[worker];
  record.FailedJobs.insert(job);
  if (record.Active) {
    record.Probing = false;
    record.Interval =
        std::min<base::Duration>(record.Interval * 2, LastInterval);
    record.NextProbe = now + record.Interval;
    return false;
  }
  if (record.FailedJobs.size() < FailuresInRow)
    return false;
  record.Active = true;
  record.Interval = FirstInterval;
  record.NextProbe = now + record.Interval;
  return true;
}

bool Quarantine::succeeded(const base::WorkerId &worker) {
  auto it = Records.find(worker);
  if (it == Records.end())
    return false;
  bool active = it->second.Active;
  Records.erase(it);
  return active;
}

void Quarantine::ended(const base::WorkerId &worker, base::TimePoint now) {
  auto it = Records.find(worker);
  if (it == Records.end() || !it->second.Active)
    return;
  it->second.Probing = false;
  it->second.NextProbe = now + it->second.Interval;
}

void Quarantine::planned(const base::WorkerId &worker) {
  auto it = Records.find(worker);
  if (it != Records.end() && it->second.Active)
    it->second.Probing = true;
}

bool Quarantine::allows(const base::WorkerId &worker,
                        base::TimePoint now) const {
  auto it = Records.find(worker);
  if (it == Records.end() || !it->second.Active)
    return true;
  return !it->second.Probing && now >= it->second.NextProbe;
}

bool Quarantine::quarantined(const base::WorkerId &worker) const {
  auto it = Records.find(worker);
  return it != Records.end() && it->second.Active;
}

std::vector<base::WorkerId> Quarantine::workers() const {
  std::vector<base::WorkerId> out;
  for (const auto &[id, record] : Records)
    if (record.Active)
      out.push_back(id);
  return out;
}

} // namespace endivedoor::control::detail
