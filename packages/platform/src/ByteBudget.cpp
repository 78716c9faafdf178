#include "endivedoor/platform/ByteBudget.h"

namespace endivedoor::platform {

bool ByteBudget::Share::resize(std::size_t size) {
  if (Budget && size > Size) {
    std::size_t more = size - Size;
    std::size_t used = Budget->Used.fetch_add(more) + more;
    if (used > Budget->Limit) {
      Budget->Used -= more;
      return false;
    }
  } else if (Budget) {
    Budget->Used -= Size - size;
  }
  Size = size;
  return true;
}

} // namespace endivedoor::platform
