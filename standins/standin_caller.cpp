// Stand-in for callers: asks the directory, sends requests, checks every answer, and prints what became of
// them.
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

class tally {
 public:
  void count(const std::string& ending, bool mixed_up, std::int64_t took_ms) {
    const absl::MutexLock lock{&this->mutex};
    ++this->endings[ending];
    this->mixed += mixed_up ? 1 : 0;
    this->took.push_back(took_ms);
  }
  [[nodiscard]] nlohmann::json report() {
    const absl::MutexLock lock{&this->mutex};
    std::sort(this->took.begin(), this->took.end());
    const auto at = [this](std::size_t percent) {
      return this->took.empty() ? 0 : this->took[this->took.size() * percent / 101];
    };
    return {{"endings", this->endings}, {"mixed_up", this->mixed}, {"p50_ms", at(50)}, {"p99_ms", at(99)}};
  }

 private:
  absl::Mutex mutex;
  std::map<std::string, int> endings;
  std::vector<std::int64_t> took;
  int mixed{0};
};

[[nodiscard]] std::vector<std::string> resolve(const caller_options& options) {
  zinnia::http_call call;
  call.url = absl::StrCat("http://", options.directory, "/zinniafield/resolve?name=", options.host,
                          "&region=", options.region, "&zone=", options.zone);
  const auto answer = zinnia::perform(call);
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  if (answer.status != status_ok || !body.contains("addresses")) {
    return {};
  }
  return body["addresses"].get<std::vector<std::string>>();
}

void call_until(const caller_options& options, tally& counts, std::chrono::steady_clock::time_point end,
                int thread) {
  std::mt19937 random{static_cast<unsigned>(thread)};
  auto addresses = resolve(options);
  for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
    constexpr int requests_per_look_up = 20;
    if (addresses.empty() || number % requests_per_look_up == 0) {
      addresses = resolve(options);
    }
    if (addresses.empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds{100});
      continue;
    }
    const auto id = absl::StrCat("c", getpid(), "-", thread, "-", number);
    zinnia::http_call call;
    call.method = options.method;
    call.url = absl::StrCat("http://", addresses[random() % addresses.size()], options.path, number);
    call.headers = {"Host: " + options.host, "Request-Id: " + id,
                    absl::StrCat("Affinity-Key: ", random() % static_cast<unsigned>(options.objects)),
                    absl::StrCat("Deadline-Ms: ", options.deadline_ms)};
    call.body = options.method == "GET" ? "" : "body of " + id;
    call.timeout = zinnia::duration{options.deadline_ms};
    const auto start = std::chrono::steady_clock::now();
    const auto answer = zinnia::perform(call);
    const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
            .count();
    const bool mixed_up = answer.status == status_ok && answer.body.find(id) == std::string::npos;
    counts.count(std::to_string(answer.status), mixed_up, took);
    if (answer.status == status_unavailable) {
      std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    if (answer.status == 0) {
      addresses.clear();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  caller_options given;
  po::options_description options{"standin_caller"};
  auto add = options.add_options();
  add("directory", po::value(&given.directory)->required(), "a node's directory, ip:port");
  add("zone", po::value(&given.zone)->default_value("klang-a"), "failure domain of the callers");
  add("region", po::value(&given.region)->default_value("klang"), "region of the callers");
  add("host", po::value(&given.host)->default_value("demo.example"), "host to ask for");
  add("path", po::value(&given.path)->default_value("/slots/"), "path; a number is appended");
  add("method", po::value(&given.method)->default_value("GET"), "GET or POST");
  add("threads", po::value(&given.threads)->default_value(8), "callers at once");
  add("seconds", po::value(&given.seconds)->default_value(10), "how long");
  add("objects", po::value(&given.objects)->default_value(40), "objects that requests concern");
  po::variables_map parsed;
  try {
    po::store(po::parse_command_line(argc, argv, options), parsed);
    po::notify(parsed);
  } catch (const po::error& problem) {
    std::cerr << "standin_caller: " << problem.what() << '\n';
    return 2;
  }
  tally counts;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{given.seconds};
  std::vector<std::thread> threads;
  for (int i = 0; i < given.threads; ++i) {
    threads.emplace_back([&, i] { call_until(given, counts, end, i); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::cout << counts.report().dump() << '\n';
  return 0;
}
