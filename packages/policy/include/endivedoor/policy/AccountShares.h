/// \file
/// Division of a client account's limit into shares of the shards.
#ifndef ENDIVEDOOR_POLICY_ACCOUNTSHARES_H
#define ENDIVEDOOR_POLICY_ACCOUNTSHARES_H

#include "endivedoor/base/Clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>

namespace endivedoor::policy {

/// Amounts of the resources that an account's limit covers: CPU in thousandths
/// of a core, memory in MiB, accelerators.
struct AccountAmounts {
  std::int64_t Cpu = 0;
  std::int64_t Memory = 0;
  std::int64_t Accelerators = 0;

  static constexpr std::array<std::int64_t AccountAmounts::*, 3> fields() {
    return {&AccountAmounts::Cpu, &AccountAmounts::Memory,
            &AccountAmounts::Accelerators};
  }
  AccountAmounts &operator+=(const AccountAmounts &o);
  AccountAmounts &operator-=(const AccountAmounts &o);
  AccountAmounts operator*(std::int64_t n) const;
  bool isZero() const { return *this == AccountAmounts{}; }
  friend bool operator==(const AccountAmounts &,
                         const AccountAmounts &) = default;
};

/// One shard's entry in the record of an account.
struct ShareEntry {
  AccountAmounts Held;
  AccountAmounts Wanted;
  friend bool operator==(const ShareEntry &, const ShareEntry &) = default;
};

/// Record of an account: the entries by shard. A shard without an entry holds
/// and wants nothing.
using ShareRecord = std::map<std::int32_t, ShareEntry>;

/// Largest amount in a record; larger limits count as this. The sum over all
/// shards stays far from overflow.
constexpr std::int64_t MaxShareAmount = std::int64_t{1} << 40;

/// Returns the sum of the shares that all shards hold.
AccountAmounts sumOfShares(const ShareRecord &record);
/// Returns whether \p amounts is within \p limit, in which 0 means no limit.
bool isWithin(const AccountAmounts &amounts, const AccountAmounts &limit);

/// What the tasks of an account need in one shard.
struct ShareDemand {
  /// Resources of all runs, including those that are being stopped or may still
  /// exist.
  AccountAmounts Used;
  /// The part of Used that runs of an earlier owner take.
  AccountAmounts UsedByEarlierOwner;
  /// Resources of the tasks that could start if the share allowed it.
  AccountAmounts Ready;
  /// Size of the most urgent of these tasks, or of all members of its gang.
  AccountAmounts NextTask;
};

/// A change of the record, conditional on its revision and on the writer still
/// owning its shard.
struct ShareWrite {
  ShareRecord Record;
  /// Expected revision; 0 if the record does not exist.
  std::int64_t Revision = 0;
};

/// One shard's side of an account's limit, for one term of ownership. Decides
/// how much the account may have running here, and which change of the record
/// to write.
///
/// Safe without trust in clocks: the shares in the record never add up to more
/// than the limit through a raise, a share is lowered here before it is lowered
/// in the record, and it is raised here after it has been raised there.
class AccountShare {
public:
  /// Shortest interval between two writes.
  static constexpr std::chrono::milliseconds WriteInterval{25};
  /// As WriteInterval, after a write that got no answer.
  static constexpr std::chrono::milliseconds LostWriteInterval{200};
  /// Share that was not used for this long is returned.
  static constexpr std::chrono::milliseconds ReturnTime{1000};
  /// As ReturnTime, while other shards want more than is free. Time for several
  /// planning passes after a raise.
  static constexpr std::chrono::milliseconds PressedReturnTime{100};
  /// Time for which nothing is raised once another shard may have to declare
  /// what runs there: operator records reach each owner within 1.5 s or stop
  /// its starts, and the rest is for its write.
  static constexpr std::chrono::milliseconds DeclarationTime{2500};

  /// \param shard number of the own shard.
  explicit AccountShare(std::int32_t shard) : Shard(shard) {}

  /// Sets the limit of the newest configuration.
  ///
  /// \param limitedSince when an amount without a limit got one: shards may
  /// have runs that they have not recorded then.
  void setLimit(const AccountAmounts &limit,
                std::optional<base::TimePoint> limitedSince);
  /// Passes in a version of the record; older ones than the latest are ignored.
  void onRecord(const ShareRecord &record, std::int64_t revision);
  /// The version of the record cannot be read. The entries that were last read
  /// count on, and the next write replaces the record.
  void onUnreadable(std::int64_t revision, base::TimePoint now);
  /// The record is absent or has been read since the term began. Nothing starts
  /// before that.
  ///
  /// \param unverified whether workers may have runs of an earlier owner that
  /// are not known yet; the share then counts as used until setVerified().
  void onLoaded(bool unverified);
  bool isLoaded() const { return Loaded; }
  void setVerified() { Inherited = {}; }

  /// Returns whether a task, or a gang, may start within the share.
  bool mayStart(const AccountAmounts &size, const ShareDemand &demand,
                base::TimePoint now) const;

  /// Returns the write that is due, if any. It is in flight until one of the
  /// following four is called.
  std::optional<ShareWrite> takeWrite(const ShareDemand &demand,
                                      base::TimePoint now);
  void onWritten(std::int64_t revision, base::TimePoint now);
  /// The write was not applied. The current record must be passed in.
  void onNotWritten();
  /// The write had no effect, because the store is unavailable.
  void onWriteFailed();
  /// It is not known whether the write was or will be applied.
  void onWriteLost();

  /// Returns whether a write will be due soon, so that takeWrite() should be
  /// called again after WriteInterval.
  bool hasDeferredWrite() const { return Deferred; }
  /// Returns the share in the latest known record.
  AccountAmounts held() const;
  const AccountAmounts &limit() const { return Limit; }

private:
  ShareEntry own() const;
  /// Returns the runs and, until the shard is verified, the inherited share.
  AccountAmounts countedUse(const ShareDemand &demand) const;
  AccountAmounts wanted(const ShareDemand &demand) const;
  AccountAmounts targetShare(const ShareDemand &demand, base::TimePoint now);
  AccountAmounts raisedShare(const ShareDemand &demand, base::TimePoint now);
  void trackPeak(const AccountAmounts &used, const AccountAmounts &wanted,
                 bool pressed, base::TimePoint now);
  /// Returns the part of the limit that the shard may use while the shards want
  /// more than there is, or the share if they don't.
  std::int64_t fairPart(std::int64_t AccountAmounts::*field) const;
  bool isPressed(std::int64_t AccountAmounts::*field) const;

  std::int32_t Shard;
  AccountAmounts Limit;
  ShareRecord Record;
  std::int64_t Revision = 0;
  bool Loaded = false;
  bool Unreadable = false;
  AccountAmounts Inherited;
  /// Lowest share of the writes at LoweredAt whose outcome is not known; they
  /// can still be applied while the record has that revision.
  std::optional<AccountAmounts> Lowered;
  std::int64_t LoweredAt = 0;
  /// Lowered and LoweredAt before the latest write.
  std::optional<AccountAmounts> LoweredBefore;
  std::int64_t LoweredBeforeAt = 0;
  std::optional<ShareWrite> InFlight;
  /// The latest write raises the share.
  bool Raising = false;
  /// The latest write got no answer.
  bool WritesLost = false;
  bool Deferred = false;
  std::optional<base::TimePoint> LastWrite;
  std::optional<base::TimePoint> RaisedAt;
  /// Nothing is raised before then.
  base::TimePoint DeclareUntil;
  /// Nothing beyond the fair part is raised before then.
  base::TimePoint YieldUntil;
  /// Highest use and demand since WindowStart.
  AccountAmounts PeakUsed, PeakWanted;
  std::optional<base::TimePoint> WindowStart;
  /// Use and demand that the latest complete window did not exceed.
  std::optional<AccountAmounts> IdleAbove;
};

} // namespace endivedoor::policy

#endif
