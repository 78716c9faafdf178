#include "detail/Quarantine.h"

#include <algorithm>

namespace endivedoor::control::detail {

constexpr std::size_t FailedJobsThreshold = 3;
constexpr std::chrono::seconds InitialProbeInterval{5};
constexpr std::chrono::minutes MaxProbeInterval{5};

bool Quarantine::recordFailure(const base::WorkerId &worker,
                               const base::JobId &job, base::TimePoint now) {
  WorkerRecord &record = Records[worker];
  record.FailedJobs.insert(job);
  if (record.Quarantined) {
    record.ProbeInFlight = false;
    record.ProbeInterval =
        std::min<base::Duration>(record.ProbeInterval * 2, MaxProbeInterval);
    record.NextProbe = now + record.ProbeInterval;
    return false;
  }
  if (record.FailedJobs.size() < FailedJobsThreshold)
    return false;
  record.Quarantined = true;
  record.ProbeInterval = InitialProbeInterval;
  record.NextProbe = now + record.ProbeInterval;
  return true;
}

bool Quarantine::recordSuccess(const base::WorkerId &worker) {
  auto it = Records.find(worker);
  if (it == Records.end())
    return false;
  bool active = it->second.Quarantined;
  Records.erase(it);
  return active;
}

void Quarantine::recordInconclusive(const base::WorkerId &worker,
                                    base::TimePoint now) {
  auto it = Records.find(worker);
  if (it == Records.end() || !it->second.Quarantined)
    return;
  it->second.ProbeInFlight = false;
  it->second.NextProbe = now + it->second.ProbeInterval;
}

void Quarantine::recordPlannedStart(const base::WorkerId &worker) {
  auto it = Records.find(worker);
  if (it != Records.end() && it->second.Quarantined)
    it->second.ProbeInFlight = true;
}

bool Quarantine::allowsStart(const base::WorkerId &worker,
                             base::TimePoint now) const {
  auto it = Records.find(worker);
  if (it == Records.end() || !it->second.Quarantined)
    return true;
  return !it->second.ProbeInFlight && now >= it->second.NextProbe;
}

bool Quarantine::isQuarantined(const base::WorkerId &worker) const {
  auto it = Records.find(worker);
  return it != Records.end() && it->second.Quarantined;
}

std::vector<base::WorkerId> Quarantine::quarantinedWorkers() const {
  std::vector<base::WorkerId> out;
  for (const auto &[id, record] : Records)
    if (record.Quarantined)
      out.push_back(id);
  return out;
}

} // namespace endivedoor::control::detail
