#include "endivedoor/base/Error.h"

namespace endivedoor::base {

const std::vector<ErrorInfo> &errorCatalogue() {
  static const std::vector<ErrorInfo> catalogue = {
#define ENDIVEDOOR_ERROR(name, number, cause, action)                          \
  {Errc::name, #name, cause, action},
#include "endivedoor/base/Errors.def"
#undef ENDIVEDOOR_ERROR
  };
  return catalogue;
}

std::string Error::message() const {
  std::string text = "E" + std::to_string(static_cast<int>(Code));
  for (const ErrorInfo &it : errorCatalogue())
    if (it.Code == Code)
      text += " " + std::string(it.Cause);
  if (!Detail.empty())
    text += ": " + Detail;
  return text;
}

} // namespace endivedoor::base
