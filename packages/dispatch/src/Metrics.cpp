#include "endivedoor/dispatch/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace endivedoor::dispatch {

using prometheus::Histogram;

/// Histogram bucket bounds in seconds: calls take milliseconds, jobs take
/// seconds.
static const Histogram::BucketBoundaries CallBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5};
static const Histogram::BucketBoundaries JobBuckets = {
    0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};

static const Histogram::BucketBoundaries RatioBuckets = {
    0.1, 0.25, 0.5, 0.75, 1, 1.33, 2, 4, 10};

static const char *nameOf(policy::Urgency urgency) {
  switch (urgency) {
  case policy::Urgency::Overdue:
    return "overdue";
  case policy::Urgency::InTime:
    return "in_time";
  case policy::Urgency::Late:
    return "late";
  }
  return "";
}

static double seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

struct Metrics::Impl {
  prometheus::Registry Registry;
  prometheus::Family<Histogram> &Calls =
      prometheus::BuildHistogram()
          .Name("endivedoor_call_seconds")
          .Help("Time of calls to the store and to workers")
          .Register(Registry);
  Histogram &FirstStart =
      prometheus::BuildHistogram()
          .Name("endivedoor_first_start_seconds")
          .Help("From a job's acceptance to its first start")
          .Register(Registry)
          .Add({}, JobBuckets);
  Histogram &Completion =
      prometheus::BuildHistogram()
          .Name("endivedoor_completion_seconds")
          .Help("From a job's acceptance to its stored final state")
          .Register(Registry)
          .Add({}, JobBuckets);
  prometheus::Gauge &Shards = prometheus::BuildGauge()
                                  .Name("endivedoor_owned_shards")
                                  .Help("Shards that this node owns")
                                  .Register(Registry)
                                  .Add({});
  prometheus::Gauge &Jobs = prometheus::BuildGauge()
                                .Name("endivedoor_live_jobs")
                                .Help("Jobs of the owned shards that have not "
                                      "ended")
                                .Register(Registry)
                                .Add({});
  prometheus::Family<prometheus::Counter> &RefusedKeys =
      prometheus::BuildCounter()
          .Name("endivedoor_refused_keys_total")
          .Help("Requests refused because of their key, by cause")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Limited =
      prometheus::BuildCounter()
          .Name("endivedoor_limited_total")
          .Help("Requests refused and connections closed because of a limit on "
                "what callers make the node hold, by limit")
          .Register(Registry);
  prometheus::Gauge &HttpBytes =
      prometheus::BuildGauge()
          .Name("endivedoor_http_bytes")
          .Help("Memory in use for connections, requests and responses, out of "
                "limits.callerMemoryMiB")
          .Register(Registry)
          .Add({});
  prometheus::Family<prometheus::Gauge> &HttpConnections =
      prometheus::BuildGauge()
          .Name("endivedoor_http_connections")
          .Help("Open connections by server")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Starts =
      prometheus::BuildCounter()
          .Name("endivedoor_starts_total")
          .Help("Started runs by the urgency of their step and by the source "
                "of the expected run time")
          .Register(Registry);
  Histogram &RunTimeRatio =
      prometheus::BuildHistogram()
          .Name("endivedoor_run_time_ratio")
          .Help("Run time as a multiple of the expected median")
          .Register(Registry)
          .Add({}, RatioBuckets);
  prometheus::Family<Histogram> &SourceAges =
      prometheus::BuildHistogram()
          .Name("endivedoor_source_age_seconds")
          .Help("Age of the copies of the store's records at planning passes")
          .Register(Registry);
  Histogram &LoopDelay =
      prometheus::BuildHistogram()
          .Name("endivedoor_loop_delay_seconds")
          .Help("Time by which timers of the control thread fire late")
          .Register(Registry)
          .Add({}, CallBuckets);
  prometheus::Family<prometheus::Counter> &IdleRooms =
      prometheus::BuildCounter()
          .Name("endivedoor_idle_room_seconds_total")
          .Help("Time for which workers had room for a long-running task that "
                "had waited for long, by cause")
          .Register(Registry);
  prometheus::Gauge &Suspects =
      prometheus::BuildGauge()
          .Name("endivedoor_suspect_runs")
          .Help("Runs of tasks that may have crashed a worker")
          .Register(Registry)
          .Add({});
};

Metrics::Metrics() : Self(new Impl) {}
Metrics::~Metrics() = default;

void Metrics::observeCall(const std::string &peer, const std::string &call,
                          const std::string &outcome, base::Duration duration) {
  Self->Calls
      .Add({{"peer", peer}, {"call", call}, {"outcome", outcome}}, CallBuckets)
      .Observe(seconds(duration));
}

void Metrics::observeFirstStart(base::Duration sinceAccepted) {
  Self->FirstStart.Observe(seconds(sinceAccepted));
}

void Metrics::observeCompletion(base::Duration sinceAccepted) {
  Self->Completion.Observe(seconds(sinceAccepted));
}

void Metrics::setOwnedShards(std::size_t owned) {
  Self->Shards.Set(static_cast<double>(owned));
}

void Metrics::setLiveJobs(std::size_t live) {
  Self->Jobs.Set(static_cast<double>(live));
}

void Metrics::setSuspectRuns(std::size_t suspects) {
  Self->Suspects.Set(static_cast<double>(suspects));
}

void Metrics::countRefusedKey(const std::string &cause) {
  Self->RefusedKeys.Add({{"cause", cause}}).Increment();
}

void Metrics::countLimited(const std::string &limit) {
  Self->Limited.Add({{"limit", limit}}).Increment();
}

void Metrics::setHttpBytes(std::size_t used) {
  Self->HttpBytes.Set(static_cast<double>(used));
}

void Metrics::setHttpConnections(const std::string &server, std::size_t open) {
  Self->HttpConnections.Add({{"server", server}})
      .Set(static_cast<double>(open));
}

void Metrics::countStart(policy::Urgency urgency, bool learned) {
  Self->Starts
      .Add({{"urgency", nameOf(urgency)},
            {"run_time", learned ? "learned" : "declared"}})
      .Increment();
}

void Metrics::observeRunTime(double ratio) {
  Self->RunTimeRatio.Observe(ratio);
}

void Metrics::observeSourceAge(const std::string &source, base::Duration age) {
  Self->SourceAges.Add({{"source", source}}, CallBuckets).Observe(seconds(age));
}

void Metrics::observeLoopDelay(base::Duration delay) {
  Self->LoopDelay.Observe(seconds(delay));
}

void Metrics::countIdleRoom(const std::string &cause, base::Duration time) {
  Self->IdleRooms.Add({{"cause", cause}}).Increment(seconds(time));
}

std::string Metrics::render(const base::EventLog &events) const {
  prometheus::MetricFamily family;
  family.name = "endivedoor_events_total";
  family.help = "Events by name; docs/events.md says what each means";
  family.type = prometheus::MetricType::Counter;
  for (const auto &[code, count] : events.counts()) {
    prometheus::ClientMetric metric;
    metric.label = {{"event", std::string(base::eventInfo(code).Name)}};
    metric.counter.value = static_cast<double>(count);
    family.metric.push_back(std::move(metric));
  }
  std::vector<prometheus::MetricFamily> all = Self->Registry.Collect();
  all.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(all);
}

} // namespace endivedoor::dispatch
