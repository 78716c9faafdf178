#include "detail/YamlDocuments.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <sstream>

namespace endivedoor::model::detail {

namespace {

/// Remembers where the latest document began.
class DocumentStart final : public YAML::EventHandler {
public:
  YAML::Mark Latest;

  void OnDocumentStart(const YAML::Mark &mark) override { Latest = mark; }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark &, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) override {}
  void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}
};

} // namespace

std::optional<YAML::Mark> findSecondDocument(const std::string &text) {
  std::istringstream in(text);
  YAML::Parser parser(in);
  DocumentStart start;
  if (parser.HandleNextDocument(start) && parser.HandleNextDocument(start))
    return start.Latest;
  return std::nullopt;
}

} // namespace endivedoor::model::detail
