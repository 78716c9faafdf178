/// \file
/// JSON encoding of the data kept in the store.
#ifndef ENDIVEDOOR_CONTROL_DETAIL_CODEC_H
#define ENDIVEDOOR_CONTROL_DETAIL_CODEC_H

#include "endivedoor/base/Error.h"
#include "endivedoor/control/Report.h"
#include "endivedoor/model/Job.h"

#include <boost/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace endivedoor::control::detail {

/// Reads typed fields of a JSON object and records the first error.
class FieldReader {
public:
  explicit FieldReader(const boost::json::value &value);
  std::string text(std::string_view name);
  std::int64_t number(std::string_view name);
  bool flag(std::string_view name);
  /// Returns an empty array if the field is absent.
  const boost::json::array &list(std::string_view name);
  const boost::json::value &child(std::string_view name);
  bool has(std::string_view name) const;
  bool failed() const { return !FirstError.empty(); }
  /// Returns ParseFailed with the first error as its detail.
  base::Error error() const { return {base::Errc::ParseFailed, FirstError}; }

private:
  const boost::json::value *find(std::string_view name, bool required);
  const boost::json::object *Fields = nullptr;
  std::string FirstError;
};

/// Returns whether a text is valid UTF-8; other text cannot be read back from
/// the journal.
bool isValidUtf8(const std::string &text);
/// Parses a JSON text. Errors: ParseFailed.
base::Result<boost::json::value> parseJson(const std::string &text);

std::int64_t toMillis(base::WallTime time);
base::WallTime fromMillis(std::int64_t millis);

/// A task as stored in the journal.
struct StoredTask {
  model::Task Task;
  /// Whether the latest attempt may still occupy resources of the worker.
  bool HoldsResources = false;
  /// Workers on which attempts failed.
  std::set<base::WorkerId> FailedOn;
};

boost::json::value specToJson(const model::JobSpec &spec);
base::Result<model::JobSpec> specFromJson(const boost::json::value &value);
boost::json::value taskToJson(const StoredTask &task);
base::Result<StoredTask> taskFromJson(const boost::json::value &value);
boost::json::value rowToJson(const ReportRow &row);
base::Result<ReportRow> rowFromJson(const boost::json::value &value);

/// An entry of an inbox batch: a new job, tasks transferred from another zone,
/// or the cancellation of a job.
struct Command {
  enum class Kind { Admit, Transfer, Cancel };
  Kind Type = Kind::Admit;
  base::JobId Job;
  /// For Admit and Transfer.
  model::JobSpec Spec;
  base::WallTime AdmittedAt;
  /// For Admit: indices of the job's tasks that this zone runs.
  std::vector<std::int32_t> TaskIndices;
  /// For Transfer: the tasks with their attempt history.
  std::vector<StoredTask> Tasks;
};

std::string commandToJson(const Command &command);
/// Combines encoded commands into the value of an inbox key.
std::string batchToJson(const std::string &writeId,
                        const std::vector<std::string> &commands);
base::Result<std::vector<Command>> batchFromJson(const std::string &text);

boost::json::array indicesToJson(const std::vector<std::int32_t> &indices);
std::vector<std::int32_t> indicesFromJson(const boost::json::array &list);

/// Returns the id of the task with the zero-based \p index in a job.
base::TaskId makeTaskId(const base::JobId &job, std::int32_t index);

} // namespace endivedoor::control::detail

#endif
