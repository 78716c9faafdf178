/// \file
/// Admission limits of a zone that is taken out or gradually returned to
/// service.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ADMISSIONRAMP_H
#define ENDIVEDOOR_POLICY_DETAIL_ADMISSIONRAMP_H

#include <cstdint>

namespace endivedoor::policy::detail {

/// Limits slot usage while a zone returns to service. The limit is the usage at
/// the start of the return plus a share of the slots that were free then. Slots
/// released by ended tasks can be used again.
class AdmissionRamp {
public:
  void set(bool open, double share, std::int64_t usedSlots) {
    if (open && share < 1 && (!Open || Share >= 1))
      UsedBefore = usedSlots;
    Open = open;
    Share = share;
  }
  bool isOpen() const { return Open; }
  bool allows(std::int64_t slots, std::int64_t used, std::int64_t total) const {
    if (Share >= 1)
      return true;
    double bound = double(UsedBefore) + Share * double(total - UsedBefore);
    return double(used + slots) <= bound;
  }

private:
  bool Open = true;
  double Share = 1;
  std::int64_t UsedBefore = 0;
};

} // namespace endivedoor::policy::detail

#endif
