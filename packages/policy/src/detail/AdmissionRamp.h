/// \file
/// Admission of a zone that is out or returns gradually.
#ifndef ENDIVEDOOR_POLICY_DETAIL_ADMISSIONRAMP_H
#define ENDIVEDOOR_POLICY_DETAIL_ADMISSIONRAMP_H

#include <cstdint>

namespace endivedoor::policy::detail {

/// Bounds the slots taken while a zone returns: what was taken when the return
/// began plus a share of what was free then. Ends of tasks make room again.
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
