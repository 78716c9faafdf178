#include "detail/StartSources.h"

#include <algorithm>

namespace endivedoor::dispatch::detail {

using base::EventCode;
using base::TimePoint;
using namespace std::chrono_literals;

StartSources::StartSources(std::vector<StartSource> sources,
                           std::function<TimePoint()> lastStoreContact,
                           base::EventLog &events)
    : Sources(std::move(sources)),
      LastStoreContact(std::move(lastStoreContact)), Events(events) {}

bool StartSources::isOld(const StartSource &source, const RecordsAge &age,
                         TimePoint now) const {
  if (now - age.AsOf <= source.MaxAge)
    return false;
  bool otherCallsAnswered = LastStoreContact() - age.AsOf > source.MaxAge;
  return age.Reachable || otherCallsAnswered;
}

bool StartSources::areCurrent(TimePoint now) {
  for (const StartSource &it : Sources) {
    std::optional<RecordsAge> age = it.Age();
    if (!age || !isOld(it, *age, now))
      continue;
    if (!Held) {
      Held = &it;
      HeldSince = now;
      Events.emit(EventCode::StartsHeld,
                  {{"source", it.Name},
                   {"ageMs", std::to_string((now - age->AsOf) / 1ms)}});
    }
    return false;
  }
  if (Held)
    Events.emit(EventCode::StartsResumed,
                {{"source", Held->Name},
                 {"ms", std::to_string((now - HeldSince) / 1ms)}});
  Held = nullptr;
  return true;
}

void StartSources::observeAges(TimePoint now, Metrics &metrics) const {
  for (const StartSource &it : Sources)
    if (std::optional<RecordsAge> age = it.Age())
      metrics.observeSourceAge(it.Name, now - age->AsOf);
}

TimePoint StartSources::asOf(TimePoint now) const {
  TimePoint oldest = now;
  for (const StartSource &it : Sources)
    if (std::optional<RecordsAge> age = it.Age())
      oldest = std::min(oldest, age->AsOf);
  return oldest;
}

TimePoint StartSources::startsValidUntil(TimePoint now) const {
  TimePoint end = TimePoint::max();
  for (const StartSource &it : Sources) {
    std::optional<RecordsAge> age = it.Age();
    // A copy that is older than that counts as current in an outage.
    if (age && now - age->AsOf <= it.MaxAge)
      end = std::min(end, age->AsOf + it.EffectTime);
  }
  return end;
}

} // namespace endivedoor::dispatch::detail
