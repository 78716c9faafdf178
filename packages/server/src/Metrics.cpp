#include "endivedoor/server/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <charconv>

namespace endivedoor::server {

namespace acc = boost::accumulators;

struct CounterInfo {
  const char *Name;
  const char *Labels;
  const char *Help;
};

/// In the order of the enumeration. Counters with the same name are adjacent,
/// and the first of them has the help text.
constexpr std::array<CounterInfo,
                     static_cast<std::size_t>(Counter::NumCounters)>
    CounterTable{{
        {"endivedoor_requests_total", "{outcome=\"answered\"}",
         "Requests of callers to services."},
        {"endivedoor_requests_total", "{outcome=\"not-run\"}", nullptr},
        {"endivedoor_requests_total", "{outcome=\"unknown\"}", nullptr},
        {"endivedoor_retries_total", "",
         "Requests sent again to another target."},
        {"endivedoor_bookings_total", "{result=\"claimed\"}",
         "Requests with an idempotency key."},
        {"endivedoor_bookings_total", "{result=\"repeated\"}", nullptr},
        {"endivedoor_bookings_total", "{result=\"refused\"}", nullptr},
        {"endivedoor_job_calls_total", "", "Calls to the job endpoints."},
    }};

void MetricsShard::increment(Counter counter) {
  Counters[static_cast<std::size_t>(counter)].fetch_add(
      1, std::memory_order_relaxed);
}

void MetricsShard::observe(base::Duration duration) {
  double seconds = std::chrono::duration<double>(duration).count();
  std::lock_guard lock(Mutex);
  ++Count;
  Sum += seconds;
  if (Samples.size() < MaxSamples)
    Samples.push_back(static_cast<float>(seconds));
  else
    Samples[NextSample] = static_cast<float>(seconds);
  NextSample = (NextSample + 1) % MaxSamples;
}

MetricsShard &Metrics::addShard() {
  std::lock_guard lock(Mutex);
  Shards.push_back(std::make_unique<MetricsShard>());
  return *Shards.back();
}

void Metrics::addGauge(std::string name, std::string help,
                       std::function<double()> read) {
  std::lock_guard lock(Mutex);
  Gauges.push_back({std::move(name), std::move(help), std::move(read)});
}

std::uint64_t Metrics::total(Counter counter) const {
  std::lock_guard lock(Mutex);
  std::uint64_t sum = 0;
  for (const std::unique_ptr<MetricsShard> &it : Shards)
    sum += it->Counters[static_cast<std::size_t>(counter)].load();
  return sum;
}

/// Formats independently of the locale, so that the decimal separator is always
/// a point.
static std::string formatNumber(double value) {
  std::array<char, 32> buf;
  auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
  return std::string(buf.data(), end);
}

static std::string metricHeader(const std::string &name,
                                const std::string &help, const char *type) {
  return "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
}

std::string Metrics::renderRequestTimes() const {
  constexpr std::array<double, 3> quantiles{0.5, 0.99, 0.999};
  using Tail =
      acc::accumulator_set<double,
                           acc::stats<acc::tag::tail_quantile<acc::right>>>;
  std::vector<float> samples;
  std::uint64_t count = 0;
  double sum = 0;
  for (const std::unique_ptr<MetricsShard> &it : Shards) {
    std::lock_guard lock(it->Mutex);
    samples.insert(samples.end(), it->Samples.begin(), it->Samples.end());
    count += it->Count;
    sum += it->Sum;
  }
  const std::string name = "endivedoor_request_seconds";
  std::string text = metricHeader(
      name, "Time to answer; quantiles of the latest requests.", "summary");
  if (!samples.empty()) {
    Tail tail(acc::tag::tail<acc::right>::cache_size = samples.size());
    for (float it : samples)
      tail(it);
    for (double q : quantiles)
      text += name + "{quantile=\"" + formatNumber(q) + "\"} " +
              formatNumber(acc::quantile(tail, acc::quantile_probability = q)) +
              "\n";
  }
  text += name + "_sum " + formatNumber(sum) + "\n";
  return text + name + "_count " + std::to_string(count) + "\n";
}

std::string Metrics::render() const {
  std::string text;
  for (std::size_t i = 0; i < CounterTable.size(); ++i) {
    const CounterInfo &it = CounterTable[i];
    if (it.Help)
      text += metricHeader(it.Name, it.Help, "counter");
    text += std::string(it.Name) + it.Labels + " " +
            std::to_string(total(static_cast<Counter>(i))) + "\n";
  }
  std::lock_guard lock(Mutex);
  text += renderRequestTimes();
  for (const Gauge &it : Gauges)
    text += metricHeader(it.Name, it.Help, "gauge") + it.Name + " " +
            formatNumber(it.Read()) + "\n";
  return text;
}

} // namespace endivedoor::server
