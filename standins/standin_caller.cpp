// Stand-in for callers: resolves the host in the directory, sends requests, checks every response, and prints
// the number of requests by status and percentiles of their latency.
//
// Usage: standin_caller --directory 127.0.0.1:7302 --zone klang-a --region klang --host demo.example
//          --path /slots/ --threads 8 --seconds 10
#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "standins/command_line.hpp"
#include "zinnia/store/http_call.hpp"

namespace {

constexpr long status_ok = 200;
constexpr long status_unavailable = 503;

constexpr int max_threads = 1'000;
constexpr int max_seconds = 86'400;
constexpr int max_objects = 1'000'000;

[[nodiscard]] bool is_method(const std::string& text) {
  return text == "GET" || text == "POST";
}

struct caller_options {
  std::string directory;
  std::string zone{"klang-a"};
  std::string region{"klang"};
  std::string host{"demo.example"};
  std::string path{"/slots/"};
  std::string method{"GET"};
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
  using namespace zinnia::standins;
  caller_options parsed_options;
  const command_line line{
      "standin_caller",
      {{"directory", parsed_options.directory, is_address, allowed_addresses, "directory endpoint of a node"},
       {"zone", parsed_options.zone, is_name, allowed_names, "failure domain of the callers"},
       {"region", parsed_options.region, is_name, allowed_names, "region of the callers"},
       {"host", parsed_options.host, is_name, allowed_names, "host to resolve and to request from"},
       {"path", parsed_options.path, is_path, allowed_paths, "path prefix; the request number is appended"},
       {"method", parsed_options.method, is_method, "GET, POST", "method"}},
      {{"threads", parsed_options.threads, 1, max_threads, "number of concurrent callers"},
       {"seconds", parsed_options.seconds, 1, max_seconds, "how long"},
       {"objects", parsed_options.objects, 1, max_objects, "number of distinct affinity keys"}}};
  if (const auto code = line.parse(argc, argv)) {
    return *code;
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
