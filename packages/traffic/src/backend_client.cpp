// libcurl's multi interface with one transfer a handle, so that a transfer can be cancelled at any moment.
#include "zinnia/traffic/backend_client.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

#include "zinnia/store/http_upload.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t most_idle_per_upstream = 16;
constexpr int cancel_poll_ms = 20;
constexpr long http_server_error = 500;

struct header_list_deleter {
  void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
};
using curl_headers = std::unique_ptr<curl_slist, header_list_deleter>;

struct download {
  backend_answer* answer{nullptr};
  std::size_t limit{0};
  bool too_large{false};
};

std::size_t write_download(char* data, std::size_t size, std::size_t count, void* context) {
  auto& target = *static_cast<download*>(context);
  if (target.answer->body.size() + size * count > target.limit) {
    target.too_large = true;
    return 0;
  }
  target.answer->body.append(data, size * count);
  return size * count;
}

[[nodiscard]] std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

std::size_t read_header(char* data, std::size_t size, std::size_t count, void* context) {
  const std::string line{data, size * count};
  const auto colon = line.find(':');
  const auto first = colon == std::string::npos ? colon : line.find_first_not_of(" \t", colon + 1);
  const auto last = line.find_last_not_of(" \t\r\n");
  if (first != std::string::npos && last != std::string::npos && last >= first) {
    static_cast<download*>(context)->answer->headers.emplace_back(lower(line.substr(0, colon)),
                                                                  line.substr(first, last - first + 1));
  }
  return size * count;
}

[[nodiscard]] std::string find_header(const header_list& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

/// A complete answer: an explicit refusal, a failure that may have run, or a run.
void classify_answer(backend_answer& answer) {
  answer.leaving = find_header(answer.headers, "x-backend-state") == "leaving";
  if (find_header(answer.headers, "x-verdict") == to_word(verdict::did_not_run)) {
    answer.outcome = verdict::did_not_run;
    answer.why =
        find_header(answer.headers, "x-reason") == "shed" ? reason::backend_shed : reason::backend_refused;
    return;
  }
  if (answer.status >= http_server_error) {
    answer.outcome = verdict::may_have_run;
    answer.why = reason::backend_error;
    return;
  }
  answer.outcome = verdict::ran;
}

}  // namespace
}  // namespace impl

/// \brief One easy handle with its own multi handle and so its own connection.
class backend_client::connection {
 public:
  connection() : easy{curl_easy_init()}, multi{curl_multi_init()} {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  connection(connection&&) = delete;
  connection& operator=(connection&&) = delete;
  ~connection() {
    curl_easy_cleanup(this->easy);
    curl_multi_cleanup(this->multi);
  }

  /// \return False when the connection must not be used again.
  bool transfer(const backend_request& request, const std::function<bool()>& cancelled,
                backend_answer& answer);

 private:
  void prepare(const backend_request& request, http_upload& up, impl::download& down,
               const impl::curl_headers& headers);
  [[nodiscard]] std::optional<CURLcode> drive(const std::function<bool()>& cancelled);
  void classify_failure(CURLcode code, const impl::download& down, backend_answer& answer);
  [[nodiscard]] bool nothing_left() const;

  CURL* easy;
  CURLM* multi;
};

void backend_client::connection::prepare(const backend_request& request, http_upload& up,
                                         impl::download& down, const impl::curl_headers& headers) {
  curl_easy_reset(this->easy);
  const std::string url = "http://" + request.upstream.str() + request.path;
  curl_easy_setopt(this->easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(this->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(std::max<std::int64_t>(1, request.limit.ms)));
  curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, impl::write_download);
  curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, &down);
  curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, impl::read_header);
  curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, &down);
  if (request.method == "HEAD") {
    curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
  } else if (request.method != "GET") {
    set_upload(this->easy, request.method, up, request.idempotent);
  }
}

std::optional<CURLcode> backend_client::connection::drive(const std::function<bool()>& cancelled) {
  int running = 1;
  while (true) {
    curl_multi_perform(this->multi, &running);
    if (running == 0) {
      break;
    }
    curl_multi_poll(this->multi, nullptr, 0, impl::cancel_poll_ms, nullptr);
    if (cancelled()) {
      return std::nullopt;
    }
  }
  int left = 0;
  const auto* const message = curl_multi_info_read(this->multi, &left);
  return message == nullptr ? CURLE_RECV_ERROR : message->data.result;
}

bool backend_client::connection::nothing_left() const {
  long sent = 0;
  curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sent);
  return sent == 0;
}

void backend_client::connection::classify_failure(CURLcode code, const impl::download& down,
                                                  backend_answer& answer) {
  const bool answer_begun = !answer.headers.empty();
  answer.outcome = this->nothing_left() ? verdict::did_not_run : verdict::may_have_run;
  if (down.too_large) {
    answer.why = reason::answer_too_large;
  } else if (code == CURLE_COULDNT_CONNECT) {
    answer.why = reason::connect_failed;
  } else if (code == CURLE_OPERATION_TIMEDOUT) {
    answer.why = this->nothing_left() ? reason::connect_failed : reason::backend_timeout;
  } else {
    answer.why = answer_begun ? reason::reset_mid_answer : reason::reset_before_first_byte;
  }
  answer.headers.clear();
  answer.body.clear();
  answer.status = 0;
}

bool backend_client::connection::transfer(const backend_request& request,
                                          const std::function<bool()>& cancelled, backend_answer& answer) {
  http_upload up{&request.body, 0};
  impl::download down{&answer, request.answer_limit_bytes, false};
  impl::curl_headers headers{curl_slist_append(nullptr, "Expect:")};
  for (const auto& [name, value] : request.headers) {
    headers.reset(curl_slist_append(headers.release(), (name + ": " + value).c_str()));
  }
  this->prepare(request, up, down, headers);
  curl_multi_add_handle(this->multi, this->easy);
  const auto code = this->drive(cancelled);
  if (!code) {
    answer = {};
    answer.outcome = this->nothing_left() ? verdict::did_not_run : verdict::may_have_run;
    answer.why = reason::cancelled;
  } else if (*code != CURLE_OK) {
    this->classify_failure(*code, down, answer);
  } else {
    long status = 0;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    impl::classify_answer(answer);
  }
  curl_multi_remove_handle(this->multi, this->easy);
  return code && *code == CURLE_OK;
}

backend_client::backend_client() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
}
backend_client::~backend_client() = default;

std::unique_ptr<backend_client::connection> backend_client::acquire(const upstream_id& upstream) {
  const absl::MutexLock lock{&this->mutex};
  auto& list = this->idle[upstream];
  if (list.empty()) {
    return std::make_unique<connection>();
  }
  auto taken = std::move(list.back());
  list.pop_back();
  return taken;
}

void backend_client::give_back(const upstream_id& upstream, std::unique_ptr<connection> used) {
  const absl::MutexLock lock{&this->mutex};
  auto& list = this->idle[upstream];
  if (list.size() < impl::most_idle_per_upstream) {
    list.push_back(std::move(used));
  }
}

backend_answer backend_client::send(const backend_request& request, const std::function<bool()>& cancelled) {
  backend_answer answer;
  auto used = this->acquire(request.upstream);
  if (used->transfer(request, cancelled, answer)) {
    this->give_back(request.upstream, std::move(used));
  }
  return answer;
}

upstream_report backend_client::probe(const upstream_id& upstream, duration limit) {
  constexpr std::size_t largest_report_bytes = 16 << 10;
  backend_request request;
  request.upstream = upstream;
  request.method = "GET";
  request.path = "/health";
  request.limit = limit;
  request.idempotent = true;
  request.answer_limit_bytes = largest_report_bytes;
  upstream_report report;
  report.id = upstream;
  report.probed_at = boot_clock{}.now();
  const auto answer = this->send(request, [] { return false; });
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  report.reachable = answer.outcome == verdict::ran && body.is_object();
  if (report.reachable) {
    report.leaving = answer.leaving || body.value("state", "serving") == "leaving";
    report.slots = body.value("slots", std::int64_t{0});
    report.in_use = body.value("in_use", std::int64_t{0});
  }
  return report;
}

}  // namespace zinnia
