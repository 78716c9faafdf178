#include "endivedoor/policy/AccountShares.h"

#include <algorithm>

namespace endivedoor::policy {

using base::TimePoint;
using Field = std::int64_t AccountAmounts::*;

/// Share that is kept when an unneeded share is returned, as a fraction of the
/// limit. Saves the write and the wait of a small demand that comes back.
constexpr std::int64_t KeptShareDivisor = 64;
/// An owner wants 1 / WantMarginDivisor more than it needs, and a smaller
/// change of what it wants is not written.
constexpr std::int64_t WantMarginDivisor = 4;

AccountAmounts &AccountAmounts::operator+=(const AccountAmounts &o) {
  for (Field f : fields())
    this->*f += o.*f;
  return *this;
}

AccountAmounts &AccountAmounts::operator-=(const AccountAmounts &o) {
  for (Field f : fields())
    this->*f -= o.*f;
  return *this;
}

AccountAmounts AccountAmounts::operator*(std::int64_t n) const {
  AccountAmounts product;
  for (Field f : fields())
    product.*f = this->*f * n;
  return product;
}

AccountAmounts sumOfShares(const ShareRecord &record) {
  AccountAmounts sum;
  for (const auto &[shard, entry] : record)
    sum += entry.Held;
  return sum;
}

bool isWithin(const AccountAmounts &amounts, const AccountAmounts &limit) {
  auto fields = AccountAmounts::fields();
  return std::all_of(fields.begin(), fields.end(), [&](Field f) {
    return limit.*f == 0 || amounts.*f <= limit.*f;
  });
}

/// Returns the larger of each amount.
static AccountAmounts highest(AccountAmounts a, const AccountAmounts &b) {
  for (Field f : AccountAmounts::fields())
    a.*f = std::max(a.*f, b.*f);
  return a;
}

/// Returns \p amount x \p part / \p whole. The rounding does not matter: a
/// raise is checked against the limit on its own.
static std::int64_t portion(std::int64_t amount, std::int64_t part,
                            std::int64_t whole) {
  return whole <= 0 ? 0
                    : static_cast<std::int64_t>(static_cast<double>(amount) *
                                                static_cast<double>(part) /
                                                static_cast<double>(whole));
}

namespace {

/// What the other shards hold and want of one resource.
struct Others {
  std::int64_t Held = 0;
  std::int64_t Wanted = 0;
  /// Sum of what each wants beyond its share.
  std::int64_t Missing = 0;
};

} // namespace

static Others othersOf(const ShareRecord &record, std::int32_t shard, Field f) {
  Others others;
  for (const auto &[number, entry] : record) {
    if (number == shard)
      continue;
    others.Held += entry.Held.*f;
    others.Wanted += std::max(entry.Wanted.*f, entry.Held.*f);
    others.Missing +=
        std::max<std::int64_t>(0, entry.Wanted.*f - entry.Held.*f);
  }
  return others;
}

void AccountShare::setLimit(const AccountAmounts &limit,
                            std::optional<TimePoint> limitedSince) {
  for (Field f : AccountAmounts::fields())
    Limit.*f = std::clamp<std::int64_t>(limit.*f, 0, MaxShareAmount);
  if (limitedSince)
    DeclareUntil = std::max(DeclareUntil, *limitedSince + DeclarationTime);
}

void AccountShare::onRecord(const ShareRecord &record, std::int64_t revision) {
  if (revision != 0 && revision <= Revision)
    return;
  Record = record;
  Revision = revision;
  Unreadable = false;
}

void AccountShare::onUnreadable(std::int64_t revision, TimePoint now) {
  if (revision <= Revision)
    return;
  Revision = revision;
  Unreadable = true;
  DeclareUntil = now + DeclarationTime;
}

void AccountShare::onLoaded(bool unverified) {
  if (Loaded)
    return;
  Loaded = true;
  // The share in a record that cannot be read may be the whole limit.
  if (unverified)
    Inherited = Unreadable ? Limit : own().Held;
}

ShareEntry AccountShare::own() const {
  auto it = Record.find(Shard);
  return it == Record.end() ? ShareEntry{} : it->second;
}

AccountAmounts AccountShare::held() const {
  AccountAmounts held = own().Held;
  if (Lowered && LoweredAt == Revision)
    for (Field f : AccountAmounts::fields())
      held.*f = std::min(held.*f, (*Lowered).*f);
  return held;
}

AccountAmounts AccountShare::countedUse(const ShareDemand &demand) const {
  AccountAmounts used = demand.Used;
  used -= demand.UsedByEarlierOwner;
  used += highest(Inherited, demand.UsedByEarlierOwner);
  return used;
}

AccountAmounts AccountShare::wanted(const ShareDemand &demand) const {
  AccountAmounts used = countedUse(demand);
  AccountAmounts wanted;
  for (Field f : AccountAmounts::fields()) {
    if (Limit.*f == 0)
      continue;
    std::int64_t needed = used.*f + demand.Ready.*f;
    needed += (needed + WantMarginDivisor - 1) / WantMarginDivisor;
    wanted.*f = std::max(
        used.*f,
        std::min(Limit.*f, std::max(needed, used.*f + demand.NextTask.*f)));
  }
  return wanted;
}

bool AccountShare::isPressed(Field f) const {
  if (Limit.*f == 0)
    return false;
  Others others = othersOf(Record, Shard, f);
  std::int64_t free = Limit.*f - others.Held - own().Held.*f;
  return others.Missing > std::max<std::int64_t>(0, free);
}

std::int64_t AccountShare::fairPart(Field f) const {
  ShareEntry entry = own();
  std::int64_t wanted = std::max(entry.Wanted.*f, entry.Held.*f);
  std::int64_t all = wanted + othersOf(Record, Shard, f).Wanted;
  return all <= Limit.*f ? entry.Held.*f : portion(Limit.*f, wanted, all);
}

bool AccountShare::mayStart(const AccountAmounts &size,
                            const ShareDemand &demand, TimePoint now) const {
  if (Limit.isZero())
    return true;
  // A sum above the limit means that the limit was lowered, or that shards had
  // to declare what they run. A part of the share would not be safe: the other
  // shards may run all of theirs.
  if (!Loaded || !isWithin(sumOfShares(Record), Limit))
    return false;
  AccountAmounts used = countedUse(demand);
  AccountAmounts share = held();
  bool justRaised = RaisedAt && now - *RaisedAt < PressedReturnTime;
  for (Field f : AccountAmounts::fields()) {
    if (Limit.*f == 0 || size.*f == 0)
      continue;
    std::int64_t allowed = share.*f;
    if (!justRaised && !WritesLost && isPressed(f))
      allowed = std::min(allowed, fairPart(f));
    if (used.*f + size.*f > allowed)
      return false;
  }
  return true;
}

void AccountShare::trackPeak(const AccountAmounts &used,
                             const AccountAmounts &wanted, bool pressed,
                             TimePoint now) {
  IdleAbove.reset();
  if (!WindowStart)
    WindowStart = now;
  PeakUsed = highest(PeakUsed, used);
  PeakWanted = highest(PeakWanted, wanted);
  if (now - *WindowStart < (pressed ? PressedReturnTime : ReturnTime))
    return;
  IdleAbove = pressed ? PeakUsed : PeakWanted;
  WindowStart = now;
  PeakUsed = used;
  PeakWanted = wanted;
}

AccountAmounts AccountShare::targetShare(const ShareDemand &demand,
                                         TimePoint now) {
  AccountAmounts target = own().Held;
  AccountAmounts used = countedUse(demand);
  // During an outage nobody could take what is returned.
  if (WritesLost)
    return highest(held(), used);
  bool exceeded = !isWithin(sumOfShares(Record), Limit);
  bool justRaised = RaisedAt && now - *RaisedAt < PressedReturnTime;
  for (Field f : AccountAmounts::fields()) {
    std::int64_t &share = target.*f;
    std::int64_t before = share;
    if (Limit.*f == 0) {
      share = 0;
      continue;
    }
    if (exceeded) {
      share = used.*f;
    } else if (isPressed(f)) {
      if (!justRaised) {
        share = std::min(share, fairPart(f));
        // The rest is too small for another task here.
        if (share < used.*f + demand.NextTask.*f)
          share = used.*f;
      }
      if (IdleAbove)
        share = std::min(share, (*IdleAbove).*f);
    } else if (IdleAbove) {
      std::int64_t kept =
          std::max((*IdleAbove).*f, Limit.*f / KeptShareDivisor);
      if (kept + kept / WantMarginDivisor < share)
        share = kept;
    }
    // What runs is recorded even if it exceeds the limit.
    share = std::max(share, used.*f);
    if (share < before && isPressed(f))
      YieldUntil = now + PressedReturnTime;
  }
  return target;
}

AccountAmounts AccountShare::raisedShare(const ShareDemand &demand,
                                         TimePoint now) {
  AccountAmounts target = targetShare(demand, now);
  if (demand.Ready.isZero() || Unreadable || now < DeclareUntil ||
      !isWithin(sumOfShares(Record), Limit))
    return target;
  AccountAmounts used = countedUse(demand);
  AccountAmounts wants = wanted(demand);
  AccountAmounts raised = target;
  for (Field f : AccountAmounts::fields()) {
    if (Limit.*f == 0)
      continue;
    Others others = othersOf(Record, Shard, f);
    std::int64_t free =
        std::max<std::int64_t>(0, Limit.*f - others.Held - target.*f);
    std::int64_t missing = std::max<std::int64_t>(0, wants.*f - target.*f);
    std::int64_t add = missing;
    if (others.Missing + missing > free) {
      std::int64_t fair =
          portion(Limit.*f, wants.*f, others.Wanted + wants.*f) - target.*f;
      add = now < YieldUntil
                ? fair
                : std::max(fair,
                           portion(free, missing, others.Missing + missing));
      add = std::clamp<std::int64_t>(add, 0, std::min(free, missing));
    }
    raised.*f += add;
    // A share in which not one more task fits would be of no use here, but
    // missing elsewhere.
    std::int64_t needed = used.*f + demand.NextTask.*f;
    if (demand.NextTask.*f == 0 || raised.*f >= needed)
      continue;
    if (now < YieldUntil || target.*f + free < needed)
      return target;
    raised.*f = needed;
  }
  return raised;
}

std::optional<ShareWrite> AccountShare::takeWrite(const ShareDemand &demand,
                                                  TimePoint now) {
  Deferred = false;
  if (Limit.isZero() || !Loaded)
    return std::nullopt;
  auto fields = AccountAmounts::fields();
  bool pressed = std::any_of(fields.begin(), fields.end(),
                             [&](Field f) { return isPressed(f); });
  AccountAmounts wants = wanted(demand);
  trackPeak(countedUse(demand), wants, pressed, now);
  if (InFlight)
    return std::nullopt;
  if (LastWrite &&
      now - *LastWrite < (WritesLost ? LostWriteInterval : WriteInterval)) {
    Deferred = !WritesLost;
    return std::nullopt;
  }
  ShareEntry before = own();
  ShareEntry next;
  next.Held = raisedShare(demand, now);
  next.Wanted = highest(next.Held, wants);
  // An earlier write whose outcome is unknown limits the share until another
  // one is applied, which also shows that the store answers again.
  bool change = Unreadable || WritesLost || next.Held != before.Held ||
                held() != before.Held;
  Raising = false;
  for (Field f : fields) {
    Raising = Raising || next.Held.*f > before.Held.*f;
    bool missed = before.Wanted.*f > before.Held.*f;
    bool misses = next.Wanted.*f > next.Held.*f && !demand.Ready.isZero();
    std::int64_t margin = before.Wanted.*f / WantMarginDivisor;
    change = change || missed != misses ||
             (misses && std::abs(next.Wanted.*f - before.Wanted.*f) > margin);
    // Without ready tasks nothing more is wanted from others.
    if (!misses)
      next.Wanted.*f = next.Held.*f;
  }
  if (!change)
    return std::nullopt;
  ShareWrite write{Record, Revision};
  if (next.Held.isZero() && next.Wanted.isZero())
    write.Record.erase(Shard);
  else
    write.Record[Shard] = next;
  LoweredBefore = Lowered;
  LoweredBeforeAt = LoweredAt;
  AccountAmounts lowest = held();
  for (Field f : fields)
    lowest.*f = std::min(lowest.*f, next.Held.*f);
  Lowered = lowest;
  LoweredAt = Revision;
  LastWrite = now;
  InFlight = write;
  return write;
}

void AccountShare::onWritten(std::int64_t revision, TimePoint now) {
  if (!InFlight)
    return;
  ShareRecord written = std::move(InFlight->Record);
  InFlight.reset();
  WritesLost = false;
  if (Raising)
    RaisedAt = now;
  onRecord(written, revision);
}

void AccountShare::onNotWritten() {
  InFlight.reset();
  WritesLost = false;
}

void AccountShare::onWriteFailed() {
  if (InFlight) {
    Lowered = LoweredBefore;
    LoweredAt = LoweredBeforeAt;
  }
  InFlight.reset();
  WritesLost = true;
}

void AccountShare::onWriteLost() {
  InFlight.reset();
  WritesLost = true;
}

} // namespace endivedoor::policy
