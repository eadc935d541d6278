// Stand-in for callers: a bounded load of requests through a look-up, with a summary as JSON.
//
// Usage: standin_caller --entry 127.0.0.1:8001 --service crewdesk --threads 8 --seconds 5
#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "zinnia/store/http_call.hpp"

namespace {

struct load_options {
  std::string entry;
  std::string direct;
  std::string service;
  std::string path;
  std::string method;
  int threads{0};
  double seconds{0};
  bool lookups_only{false};
};

struct load_result {
  std::mutex mutex;
  std::vector<double> took_ms;
  std::map<std::string, int> endings;
  int mixed_up{0};
};

using steady = std::chrono::steady_clock;

[[nodiscard]] double ms_since(steady::time_point start) {
  return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

/// Entries from a look-up; used until their lifetime is over, as a caller would.
class entry_cache {
 public:
  explicit entry_cache(const load_options& given) : options{given} {}

  [[nodiscard]] std::string current() {
    if (steady::now() >= this->fresh_until) {
      this->refresh();
    }
    return this->address;
  }

  void refresh() {
    for (const auto& source : {this->address, this->options.entry}) {
      zinnia::http_call call;
      call.url = "http://" + source + "/v1/entries?service=" + this->options.service;
      const auto answer = source.empty() ? zinnia::http_answer{} : zinnia::perform(call);
      const auto body = nlohmann::json::parse(answer.body, nullptr, false);
      if (answer.status == 200 && !body["entries"].empty()) {
        this->address = body["entries"][0]["address"].get<std::string>();
        this->fresh_until = steady::now() + std::chrono::milliseconds{body["lifetime_ms"].get<int>()};
        return;
      }
    }
  }

 private:
  const load_options& options;
  std::string address;
  steady::time_point fresh_until{};
};

void run_caller(const load_options& options, int number, std::atomic<bool>& stop, load_result& total) {
  entry_cache entries{options};
  std::vector<double> took;
  std::map<std::string, int> endings;
  int mixed_up = 0;
  for (int turn = 0; !stop; ++turn) {
    zinnia::http_call call;
    const std::string mark = std::to_string(number) + "-" + std::to_string(turn);
    if (options.lookups_only) {
      call.url = "http://" + options.entry + "/v1/entries?service=" + options.service;
    } else if (!options.direct.empty()) {
      call.url = "http://" + options.direct + options.path;
    } else {
      call.url = "http://" + entries.current() + "/v1/services/" + options.service + options.path;
    }
    call.method = options.method;
    call.body = options.method == "GET" ? "" : mark;
    call.limit = zinnia::duration{15'000};
    const auto start = steady::now();
    const auto answer = zinnia::perform(call);
    took.push_back(ms_since(start));
    const auto reason = answer.headers.find("x-reason");
    ++endings[std::to_string(answer.status) + (reason == answer.headers.end() ? "" : " " + reason->second)];
    if (answer.status == 0) {
      entries.refresh();
    }
    const bool echoes = options.method != "GET" && answer.status == 200;
    mixed_up += echoes && answer.body.find('"' + mark + '"') == std::string::npos ? 1 : 0;
    const auto retry = answer.headers.find("retry-after-ms");
    if (retry != answer.headers.end()) {
      std::this_thread::sleep_for(std::chrono::milliseconds{std::stoi(retry->second)});
    }
  }
  const std::lock_guard lock{total.mutex};
  total.took_ms.insert(total.took_ms.end(), took.begin(), took.end());
  for (const auto& [ending, count] : endings) {
    total.endings[ending] += count;
  }
  total.mixed_up += mixed_up;
}

[[nodiscard]] double quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) {
    return 0;
  }
  return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  load_options options;
  po::options_description flags{"standin_caller"};
  auto add = flags.add_options();
  add("entry", po::value(&options.entry), "entry asked first, ip:port");
  add("direct", po::value(&options.direct)->default_value(""), "go straight to this backend server");
  add("service", po::value(&options.service)->default_value("crewdesk"), "service");
  add("path", po::value(&options.path)->default_value("/crews"), "path at the backend server");
  add("method", po::value(&options.method)->default_value("GET"), "GET or POST");
  add("threads", po::value(&options.threads)->default_value(4), "callers, 1 to 500");
  add("seconds", po::value(&options.seconds)->default_value(2), "how long, up to 600");
  add("lookups", po::bool_switch(&options.lookups_only), "only look-ups");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, flags), given);
  po::notify(given);
  options.threads = std::clamp(options.threads, 1, 500);
  options.seconds = std::clamp(options.seconds, 0.1, 600.0);
  std::atomic<bool> stop{false};
  load_result total;
  std::vector<std::thread> callers;
  for (int i = 0; i < options.threads; ++i) {
    callers.emplace_back([&, i] { run_caller(options, i, stop, total); });
  }
  std::this_thread::sleep_for(std::chrono::duration<double>{options.seconds});
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }
  std::sort(total.took_ms.begin(), total.took_ms.end());
  const nlohmann::json summary{{"requests", total.took_ms.size()},
                               {"per_second", static_cast<double>(total.took_ms.size()) / options.seconds},
                               {"p50_ms", quantile(total.took_ms, 0.5)},
                               {"p99_ms", quantile(total.took_ms, 0.99)},
                               {"p999_ms", quantile(total.took_ms, 0.999)},
                               {"endings", total.endings},
                               {"mixed_up", total.mixed_up}};
  std::cout << summary.dump() << '\n';
  return 0;
}
