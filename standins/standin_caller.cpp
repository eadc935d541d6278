// Stand-in for callers: resolves the host in the directory, sends requests, checks every response, and prints
// the number of requests by status and percentiles of their latency.
//
// Usage: standin_caller --directory 127.0.0.1:7302 --zone klang-a --region klang --host demo.example
//          --path /slots/ --threads 8 --seconds 10
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "zinnia/store/http_call.hpp"

namespace {

constexpr long status_ok = 200;
constexpr long status_unavailable = 503;

struct caller_options {
  std::string directory;
  std::string zone;
  std::string region;
  std::string host;
  std::string path;
  std::string method;
  int threads{8};
  int seconds{10};
  int objects{40};
  int deadline_ms{1200};
};

/// Collects the results of requests; thread safe.
class request_statistics {
 public:
  /// \param status HTTP status, or 0 if there was no response.
  /// \param is_mismatched The response is successful but does not contain the request's id.
  void record(const std::string& status, bool is_mismatched, std::int64_t latency_ms) {
    const absl::MutexLock lock{&this->mutex};
    ++this->count_by_status[status];
    this->mismatched_responses += is_mismatched ? 1 : 0;
    this->latencies_ms.push_back(latency_ms);
  }
  [[nodiscard]] nlohmann::json report() {
    const absl::MutexLock lock{&this->mutex};
    std::sort(this->latencies_ms.begin(), this->latencies_ms.end());
    const auto percentile = [this](std::size_t percent) {
      return this->latencies_ms.empty() ? 0 : this->latencies_ms[this->latencies_ms.size() * percent / 101];
    };
    return {{"endings", this->count_by_status},
            {"mixed_up", this->mismatched_responses},
            {"p50_ms", percentile(50)},
            {"p99_ms", percentile(99)}};
  }

 private:
  absl::Mutex mutex;
  std::map<std::string, int> count_by_status;
  std::vector<std::int64_t> latencies_ms;
  int mismatched_responses{0};
};

/// Returns the node addresses that the directory advertises for the host, or none if the query failed.
[[nodiscard]] std::vector<std::string> resolve(const caller_options& options) {
  zinnia::http_call call;
  call.url = absl::StrCat("http://", options.directory, "/zinniafield/resolve?name=", options.host,
                          "&region=", options.region, "&zone=", options.zone);
  const auto response = zinnia::perform(call);
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != status_ok || !body.contains("addresses")) {
    return {};
  }
  return body["addresses"].get<std::vector<std::string>>();
}

/// Sends one request after another until `end`, and resolves the host again for every 20th request
/// and after a request without a response.
void send_requests_until(const caller_options& options, request_statistics& statistics,
                         std::chrono::steady_clock::time_point end, int thread_index) {
  std::mt19937 random{static_cast<unsigned>(thread_index)};
  auto addresses = resolve(options);
  for (int request_number = 0; std::chrono::steady_clock::now() < end; ++request_number) {
    constexpr int requests_per_resolve = 20;
    if (addresses.empty() || request_number % requests_per_resolve == 0) {
      addresses = resolve(options);
    }
    if (addresses.empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds{100});
      continue;
    }
    const auto request_id = absl::StrCat("c", getpid(), "-", thread_index, "-", request_number);
    zinnia::http_call call;
    call.method = options.method;
    call.url = absl::StrCat("http://", addresses[random() % addresses.size()], options.path, request_number);
    call.headers = {"Host: " + options.host, "Request-Id: " + request_id,
                    absl::StrCat("Affinity-Key: ", random() % static_cast<unsigned>(options.objects)),
                    absl::StrCat("Deadline-Ms: ", options.deadline_ms)};
    call.body = options.method == "GET" ? "" : "body of " + request_id;
    call.timeout = zinnia::duration{options.deadline_ms};
    const auto start = std::chrono::steady_clock::now();
    const auto response = zinnia::perform(call);
    const auto latency_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
            .count();
    const bool is_mismatched =
        response.status == status_ok && response.body.find(request_id) == std::string::npos;
    statistics.record(std::to_string(response.status), is_mismatched, latency_ms);
    if (response.status == status_unavailable) {
      std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    if (response.status == 0) {
      addresses.clear();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  caller_options parsed_options;
  po::options_description options{"standin_caller"};
  auto add = options.add_options();
  add("directory", po::value(&parsed_options.directory)->required(), "directory endpoint of a node, ip:port");
  add("zone", po::value(&parsed_options.zone)->default_value("klang-a"), "failure domain of the callers");
  add("region", po::value(&parsed_options.region)->default_value("klang"), "region of the callers");
  add("host", po::value(&parsed_options.host)->default_value("demo.example"),
      "host to resolve and to request from");
  add("path", po::value(&parsed_options.path)->default_value("/slots/"),
      "path prefix; the request number is appended");
  add("method", po::value(&parsed_options.method)->default_value("GET"), "GET or POST");
  add("threads", po::value(&parsed_options.threads)->default_value(8), "number of concurrent callers");
  add("seconds", po::value(&parsed_options.seconds)->default_value(10), "how long");
  add("objects", po::value(&parsed_options.objects)->default_value(40), "number of distinct affinity keys");
  po::variables_map parsed;
  try {
    po::store(po::parse_command_line(argc, argv, options), parsed);
    po::notify(parsed);
  } catch (const po::error& problem) {
    std::cerr << "standin_caller: " << problem.what() << '\n';
    return 2;
  }
  request_statistics statistics;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{parsed_options.seconds};
  std::vector<std::thread> threads;
  for (int i = 0; i < parsed_options.threads; ++i) {
    threads.emplace_back([&, i] { send_requests_until(parsed_options, statistics, end, i); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::cout << statistics.report().dump() << '\n';
  return 0;
}
